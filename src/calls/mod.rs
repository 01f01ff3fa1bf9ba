//! At-most-once execution of non-idempotent calls: a pure state machine over
//! the `calls` stream.

mod answer;
mod key;
mod ledger;
mod record;

pub use answer::{MAX_RECORDED_BODY_BYTES, RecordedAnswer, RecordedBody};
pub use key::{DEDUPLICATION_WINDOW, InvalidKey, Key, KeyAge};
pub use ledger::{ClaimOutcome, CurrentClaim, Ledger, RecordEffect};
pub use record::{CallRecord, Claim, Outcome, Ran};
