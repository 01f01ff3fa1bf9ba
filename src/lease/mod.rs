//! The lease whose holder drives roll-outs, placement, estimates and checkpoints.

mod any;
mod holder;
mod life;

pub use any::Any;
pub use holder::Holder;
pub use life::{Held, Lease, Lost, Request, Sought, TTL};
