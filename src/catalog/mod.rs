//! Operator configuration as a replicated state machine over the log.

mod change;
mod check;
mod checkpoint;
mod object;
mod profile;
mod record;
mod rollout_plan;
mod service;
mod store;
mod team;
mod verdict;
mod version;

pub use change::Change;
pub use check::{InvalidValue, check, check_ended};
pub use checkpoint::Checkpoint;
pub use object::{Availability, Object, ObjectId, ObjectKind, UnknownKind};
pub use profile::{Profile, RolloutStep};
pub use record::{Body, Record};
pub use rollout_plan::RolloutPlan;
pub use service::{Service, UndatedKeys};
pub use store::{Catalog, Entry};
pub use team::Team;
pub use verdict::{RejectReason, Verdict};
pub use version::Version;
