//! Usage records: one for each request that ran.

mod record;

pub use record::{AttemptRecord, UsageRecord};
