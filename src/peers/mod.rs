//! Entries that read the store for others, and those that follow them: who reads, what a
//! reader passes on with which age, and when a follower reads for itself.

mod course;
mod duty;
mod evidence;
mod follower;
mod handler;
mod limits;
mod listing;
mod member;
mod message;
mod poll;
mod relay_log;
mod relays;
mod table;

pub use course::{AnyCourse, Course, FollowEnd, Following, Reading};
pub use duty::Duty;
pub use evidence::{EvidenceRequest, EvidenceRounds, Waiting, overlay, run_rounds};
pub use follower::Follower;
pub use handler::PeerHandler;
pub use limits::FollowLimits;
pub use listing::ListingPlan;
pub use member::{InvalidMember, Member};
pub use message::{Poll, PollAnswer, RelayRecord, RelayedPage};
pub use poll::{PollError, exchange_evidence, poll};
pub use relay_log::RelayLog;
pub use relays::Relays;
pub use table::{Members, PeerKey, PeerRow};
