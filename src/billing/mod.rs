//! Usage records: one for each request that ran.

mod draft;
mod outbox;
mod record;

pub use draft::Draft;
pub use outbox::{Durable, Outbox};
pub use record::{AttemptRecord, UsageRecord, request_of};
