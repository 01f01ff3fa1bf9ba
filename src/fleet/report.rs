//! Reports that a sidecar sends to entries about its endpoint.

use std::sync::Arc;

use crate::ids;
use crate::units;

/// Ramp-up state of an endpoint, which decides how much of its full load it gets.
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
    /// Limited to its cold limit; the state after a start or a failure.
    #[default]
    Cold,
    /// Between the cold limit and the full limit.
    Ramping,
    /// Allowed its full limit.
    Warm,
}

/// State of an endpoint, sent periodically; also serves as the sidecar's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Model versions that the engine has loaded; empty for a plain service.
    pub versions: Vec<ids::VersionName>,
    /// Name of the plain service; `None` if the endpoint is a model engine.
    pub service: Option<ids::ServiceName>,
    /// Number of requests that run on the endpoint.
    pub running: u32,
    /// Number of requests that wait in the sidecar's queue.
    pub queued: u32,
    /// Current limit of concurrent requests.
    pub limit: u32,
    /// Limit of concurrent requests when warm.
    pub max: u32,
    /// State from which the current limit follows.
    pub warmth: Warmth,
    /// Whether the endpoint accepts new work.
    pub accepting: bool,
    /// Whether an entry has reported that the VM is leaving.
    pub leaving: bool,
    /// Offset of the last `config` record that the sidecar has applied.
    pub config: Option<ids::Offset>,
    /// Offset of the last `control` record that the sidecar has applied.
    pub control: Option<ids::Offset>,
    /// Median time to the first token over recent requests; 0 while unknown.
    pub first_token: units::Millis,
}

/// A crash of an endpoint while it ran requests.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashReport {
    /// VM on which the endpoint runs.
    pub vm: ids::VmName,
    /// Failure domain of the VM.
    pub domain: ids::DomainName,
    /// Incarnation of the sidecar that observed the crash.
    pub incarnation: ids::Incarnation,
    /// Number of the crash, unique within the incarnation, so that repeated
    /// reports are recognised.
    pub incident: u32,
    /// Requests that were in flight, each of which may have caused the crash.
    pub in_flight: Arc<[SuspectRequest]>,
}

/// Identifies a crash: VM of the endpoint, incarnation of the sidecar, and number within it.
pub type CrashId = (ids::VmName, ids::Incarnation, u32);

impl CrashReport {
    /// Returns the key that distinguishes this crash from all others.
    #[must_use]
    pub fn id(&self) -> CrashId {
        (self.vm.clone(), self.incarnation, self.incident)
    }
}

/// A request that was in flight when an endpoint crashed, with the fingerprint of its content.
pub type SuspectRequest = (ids::RequestId, ids::Fingerprint);
