//! Control state of an entry that calls endpoints without sidecars: the tables,
//! the systems that run over them each tick, and the snapshot that traffic reads.

mod change;
mod confirmation;
mod evidence;
mod exchange;
mod feed;
mod follow_task;
mod freshness;
mod join;
mod known_config;
mod listings;
mod page_cursor;
mod plane;
mod poll_settings;
mod read_log;
mod snapshot;
mod store_health;
mod system;
mod tallies;
mod topic_reads;
mod withdrawn;
mod world;
mod writer;

pub use change::{
    Assignment, Batch, Effect, EndpointChange, EndpointRecord, Event, LimitReport, NamedLimit,
    OperatorChange, RolloutOrder, RolloutReport, Scope, SharedEvidence, Source,
};
pub use confirmation::{Confirmation, Proof};
pub use evidence::{Evidence, Sample, WaitingKey};
pub use exchange::{SharedExchange, exchange, newest_evidence};
pub use feed::{KeyedValues, follow, newest_records};
pub use follow_task::{FollowTask, SharedReads};
pub use freshness::Freshness;
pub use join::join;
pub use known_config::KnownConfig;
pub use listings::Listings;
pub use page_cursor::{AnyListing, Listing, PageCursor};
pub use plane::Plane;
pub use poll_settings::PollSettings;
pub use snapshot::{EndpointView, ServiceView, Snapshot, VersionSplit};
pub use store_health::StoreHealth;
pub use system::retention_after_mass_removal;
pub use tallies::Tallies;
pub use topic_reads::TopicReads;
pub use withdrawn::WithdrawnVersions;
pub use world::{
    EndpointKey, EndpointRow, LimitRow, PeerResults, RolloutRow, World, cold_duration,
};
pub use writer::write;
