//! Admission control beside an endpoint: concurrency limits, the queue, call and order
//! fencing, crash incidents and copies of usage records.

mod call_table;
mod controller;
mod crashes;
mod evicted_calls;
mod fences;
mod first_token;
mod gate;
mod queue;
mod service_time;
mod usage_copies;
mod warmth;

pub use call_table::{CallBounds, CallRefusal, CallState, CallTable};
pub use controller::{ArrivalDecision, Controller, QueueDecision, RefusalReason};
pub use crashes::{ConnectionLoss, CrashTracker, InFlightId};
pub use fences::{FenceCheck, OrderRefusal};
pub use gate::{Gate, Outcome, Permit};
pub use queue::{AdmissionRequest, Queue, Ticket};
pub use usage_copies::UsageCopies;
pub use warmth::{AnyWarmth, Cold, Limits, Ramping, Warm, Warmth};
