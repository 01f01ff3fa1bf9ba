//! State machines that follow a stream of the log.

mod follower;
mod machine;

pub use follower::{Advance, Follower};
pub use machine::Machine;
