//! Admission control beside an endpoint: concurrency limits, the queue, call and order
//! fencing, crash incidents and copies of usage records.

mod calls;
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

pub use calls::{CallBounds, CallRefusal, CallState, Calls};
pub use controller::{Arrival, Call, Controller, Shed};
pub use crashes::{Crashes, Flight, Loss};
pub use fences::{Fences, OrderRefusal};
pub use gate::{Gate, Outcome, Permit};
pub use queue::{Ask, Queue, Ticket};
pub use usage_copies::UsageCopies;
pub use warmth::{AnyWarmth, Cold, Limits, Ramping, Warm, Warmth};
