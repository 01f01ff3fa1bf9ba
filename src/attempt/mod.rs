//! Attempts at a request: what is sent to an endpoint and its life cycle.

mod dispatch;
mod life;

pub use dispatch::{CallRef, Dispatch, Priority, ServiceAnswer, Usage, Work};
pub use life::{Attempt, Dispatched, Finished, Gap, Planned, Streaming};
