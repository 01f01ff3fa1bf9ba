//! At-most-once execution of non-idempotent calls: a pure state machine over
//! the `calls` stream.

mod answer;
mod key;
mod ledger;
mod record;

pub use answer::{MAX_KEPT_BODY, RecordedAnswer, RecordedBody};
pub use key::{InvalidKey, Key, KeyAge, WINDOW};
pub use ledger::{End, Ledger, Standing, Verdict};
pub use record::{CallRecord, Claim, Outcome, Ran};
