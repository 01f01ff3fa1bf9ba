//! Attempts at a request: the work that is sent to an endpoint, and the life cycle of an
//! attempt.

mod dispatch;
mod life;

pub use dispatch::{CallRef, Dispatch, Priority, ServiceAnswer, Usage, Work};
pub use life::{Attempt, Dispatched, Finished, Gap, Planned, Streaming};
