//! Processes of the system and the endpoints beside them.

mod identity;
mod member;
mod order;
mod report;

pub use identity::{Identity, NodeRole};
pub use member::Member;
pub use order::OrderAction;
pub use report::{CrashReport, Incident, Report, Suspect, Warmth};
