//! Replicated state machines, each built from one stream of the log.

mod follower;
mod machine;

pub use follower::{Advance, Follower};
pub use machine::Machine;
