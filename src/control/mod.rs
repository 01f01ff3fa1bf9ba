//! Control state of a process: its tables, events and effects, and the thread that owns them.

mod driver;
mod effect;
mod event;
mod gossip;
mod keys;
mod row;
mod snapshot;
mod thread;
mod tick;
mod world;

pub use driver::{Driver, EvidenceFold, LoadState};
pub use effect::{Append, Effect};
pub use event::{Event, LogPage};
pub use gossip::Gossip;
pub use keys::{EndpointKey, EntryKey, ProfileKey, RolloutKey, ServiceKey, TeamKey, VersionKey};
pub use row::{EndpointRow, EntryRow, InFlightCounter, InFlightGuard, Link, SILENCE_TIMEOUT};
pub use snapshot::{
    AppliedConfig, EndpointView, Phase, ProfileView, RolloutView, Snapshot, TeamView, VersionView,
};
pub use thread::{Control, Outcome, Plane, SidecarPlane, Systems};
pub use tick::TickCx;
pub use world::World;
