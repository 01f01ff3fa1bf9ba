//! Usage records: one for each request of which an attempt ran or may have run.

mod draft;
mod outbox;
mod record;

pub use draft::Draft;
pub use outbox::{DurableByVm, Outbox};
pub use record::{AttemptRecord, UsageRecord, request_of};
