//! Operator configuration as a replicated state machine over the `config` stream.

mod allowed_regions;
mod api_key;
mod change;
mod change_outcome;
mod check;
mod checkpoint;
mod deployment;
mod object;
mod profile;
mod record;
mod rollout_plan;
mod route_rule;
mod service;
mod store;
mod team;
mod upstream;
mod version;

pub use allowed_regions::AllowedRegions;
pub use api_key::{ApiKey, KeyLabel};
pub use change::Change;
pub use change_outcome::{ChangeOutcome, RejectReason};
pub use check::{InvalidValue, check, check_rollout_change};
pub use checkpoint::Checkpoint;
pub use deployment::{CallerLimits, Deployment, TeamAccess};
pub use object::{Availability, Object, ObjectId, ObjectKind, UnknownKind};
pub use profile::{Profile, RolloutStep};
pub use record::{Body, Record};
pub use rollout_plan::RolloutPlan;
pub use route_rule::{CallKind, RouteRule, WeightedService};
pub use service::{Service, UndatedKeys};
pub use store::{Catalog, StoredObject};
pub use team::Team;
pub use upstream::{ColdStart, Upstream};
pub use version::Version;
