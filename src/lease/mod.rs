//! The lease whose holder drives rollouts, placement, estimates and checkpoints.

mod any;
mod holder;
mod life;

pub use any::Any;
pub use holder::Holder;
pub use life::{Candidate, Held, Lease, Lost, Request, TTL};
