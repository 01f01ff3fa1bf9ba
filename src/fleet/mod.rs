//! The processes of the system and their endpoints, as they describe themselves to each other.

mod identity;
mod member;
mod order;
mod report;

pub use identity::{Identity, NodeRole};
pub use member::Member;
pub use order::OrderAction;
pub use report::{CrashId, CrashReport, Report, SuspectRequest, Warmth};
