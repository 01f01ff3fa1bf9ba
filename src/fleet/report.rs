//! What the process beside an endpoint tells its entries.

use std::sync::Arc;

use crate::ids;
use crate::units;

/// How much of its full load an endpoint bears.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Warmth {
    /// At its cold limit.
    #[default]
    Cold,
    /// Between the cold and the full limit.
    Ramping,
    /// At its full limit.
    Warm,
}

/// State of an endpoint; the heartbeat of the process beside it.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Versions loaded.
    pub versions: Vec<ids::VersionName>,
    /// The plain service, where the endpoint is one.
    pub service: Option<ids::ServiceName>,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Requests that may run at a time now.
    pub limit: u32,
    /// Requests that may run at a time when warm.
    pub max: u32,
    /// Warmth.
    pub warmth: Warmth,
    /// Whether the endpoint takes new work.
    pub accepting: bool,
    /// Whether an entry has told that the VM is leaving.
    pub leaving: bool,
    /// The last configuration record applied.
    pub config: Option<ids::Offset>,
    /// The last control record applied.
    pub control: Option<ids::Offset>,
    /// Median time to the first token of late.
    pub first_token: units::Millis,
}

/// An endpoint that died while it ran requests.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashReport {
    /// The VM of the endpoint.
    pub vm: ids::VmName,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Run of the process beside it.
    pub incarnation: ids::Incarnation,
    /// Number of the crash within that run, so that repeats are recognised.
    pub incident: u32,
    /// Requests in flight.
    pub in_flight: Arc<[Suspect]>,
}

/// What tells crashes apart: endpoint, run of the process beside it, number within the run.
pub type Incident = (ids::VmName, ids::Incarnation, u32);

impl CrashReport {
    /// What tells this crash from others.
    #[must_use]
    pub fn id(&self) -> Incident {
        (self.vm.clone(), self.incarnation, self.incident)
    }
}

/// A request that was in flight when an endpoint died.
pub type Suspect = (ids::RequestId, ids::Fingerprint);
