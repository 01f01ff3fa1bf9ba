//! The lease whose holder drives rollouts, placement, estimates and checkpoints.

mod any_lease;
mod holder;
mod life;

pub use any_lease::AnyLease;
pub use holder::Holder;
pub use life::{Candidate, Held, Lease, Lost, Request, TTL};
