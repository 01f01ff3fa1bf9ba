//! Immutable snapshot of the control state for the traffic threads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use slotmap::SecondaryMap;

use crate::catalog;
use crate::control;
use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::platform_clients;
use crate::poison;
use crate::rollout;
use crate::units;

/// Life-cycle phase of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The configuration or, on an entry, the ledger has not been read yet.
    #[default]
    Starting,
    /// In service; accepts new work.
    Serving,
    /// A planned stop has begun; no new work is accepted.
    Stopping,
}

/// The state that routing and admission decide on. Replaced as a whole after a
/// tick that changed it.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Life-cycle phase of the process.
    pub phase: Phase,
    /// Whether the platform's log is available: set by a successful read of
    /// `config`, cleared by a failed read of `config` or `control`.
    pub log_available: bool,
    /// Last `config` record applied; `None` before the first.
    pub config: Option<ids::Offset>,
    /// Last `control` record applied; `None` before the first.
    pub control: Option<ids::Offset>,
    /// Whether the ledger has caught up with the `control` stream.
    pub control_ready: bool,
    /// Configuration applied by each known process, this one first.
    pub applied_configs: Vec<AppliedConfig>,
    /// Fencing number of the lease and offset of the next `evidence` record to
    /// aggregate; `None` while this process does not hold the lease.
    pub evidence_cursor: Option<(ids::Fence, ids::Offset)>,
    /// Fencing number if the ledger names this process as the lease holder;
    /// `None` once its release is on record.
    pub held_fence: Option<ids::Fence>,
    /// Fencing number of the last accepted claim by any process; `None` before the first.
    pub fence: Option<ids::Fence>,
    /// Crashes that are not in the ledger yet: on a sidecar those of its own
    /// endpoint, on an entry those reported by sidecars.
    pub unrecorded_crashes: Vec<fleet::CrashReport>,
    /// Whether operators have taken this process's VM or failure domain out of service.
    pub self_out_of_service: bool,
    /// State of this process's VM in the platform's list, as reported by entries.
    pub self_state: platform_clients::VmState,
    /// Teams by the SHA-256 digest of each of their tokens.
    pub teams: HashMap<ids::Digest, TeamView>,
    /// Profiles in force, with their usable versions.
    pub profiles: HashMap<ids::ProfileName, Arc<ProfileView>>,
    /// All versions, including withdrawn ones, to compute the cost of past requests.
    pub versions: HashMap<ids::VersionName, Arc<catalog::Version>>,
    /// Names of the versions that are withdrawn and get no new work.
    pub withdrawn: Vec<ids::VersionName>,
    /// Progress of each rollout in the ledger, including those that have ended.
    pub rollouts: HashMap<Arc<str>, rollout::Progress>,
    /// Plain services in force.
    pub services: HashMap<ids::ServiceName, Arc<catalog::Service>>,
    /// Connected endpoints, whether or not they accept work.
    pub endpoints: SecondaryMap<control::EndpointKey, EndpointView>,
    /// Endpoints that accept new work, by each version that they have loaded.
    pub by_version: HashMap<ids::VersionName, Vec<control::EndpointKey>>,
    /// Endpoints that accept new work, by the plain service that they run.
    pub by_service: HashMap<ids::ServiceName, Vec<control::EndpointKey>>,
    /// Quality estimates as last published.
    pub estimates: Arc<estimate::Estimates>,
    /// Fingerprints of requests that were in flight during crashes.
    pub quarantine: Arc<poison::Quarantine>,
}

/// Configuration applied by a process, as far as this process knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedConfig {
    /// VM on which the process runs.
    pub vm: ids::VmName,
    /// Role of the process.
    pub role: fleet::NodeRole,
    /// Last `config` record applied; `None` if unknown.
    pub config: Option<ids::Offset>,
}

impl Snapshot {
    /// Returns whether a crash with this request in flight is not in the ledger yet.
    #[must_use]
    pub fn is_unrecorded(&self, fingerprint: ids::Fingerprint) -> bool {
        let mut in_flight = self
            .unrecorded_crashes
            .iter()
            .flat_map(|crash| &*crash.in_flight);
        in_flight.any(|(_, other)| *other == fingerprint)
    }

    /// Returns whether the process accepts new work.
    #[must_use]
    pub const fn is_serving(&self) -> bool {
        matches!(self.phase, Phase::Serving)
    }

    /// Returns whether this process's VM is leaving according to the platform's list.
    #[must_use]
    pub fn is_self_leaving(&self) -> bool {
        self.self_state == platform_clients::VmState::Leaving
    }
}

/// A team as admission sees it.
#[derive(Clone, Debug)]
pub struct TeamView {
    /// Name of the team.
    pub name: ids::TeamName,
    /// Maximum number of the team's requests running at a time on this entry.
    pub max_concurrent: u32,
}

/// A profile with the versions that routing may choose from.
#[derive(Clone, Debug)]
pub struct ProfileView {
    /// Name of the profile.
    pub name: ids::ProfileName,
    /// Definition of the profile in the catalog.
    pub profile: Arc<catalog::Profile>,
    /// Published, not withdrawn versions, cheapest first; excludes those in rollout.
    pub versions: Vec<VersionView>,
    /// Versions that are being rolled out into the profile.
    pub rollouts: Vec<RolloutView>,
}

/// A version that a profile may use.
#[derive(Clone, Debug)]
pub struct VersionView {
    /// Name of the version.
    pub name: ids::VersionName,
    /// Definition of the version in the catalog.
    pub version: Arc<catalog::Version>,
}

/// A version that is being rolled out into a profile.
#[derive(Clone, Debug)]
pub struct RolloutView {
    /// Name of the rollout.
    pub name: Arc<str>,
    /// The version being rolled out.
    pub version: VersionView,
    /// Fraction of requests that the version receives in the current step.
    pub share: units::Share,
    /// This entry's quota of answers from the version.
    pub allotment: Arc<rollout::Allotment>,
}

/// A connected endpoint as routing sees it.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// VM on which the endpoint and its sidecar run.
    pub vm: ids::VmName,
    /// Failure domain of the VM.
    pub domain: ids::DomainName,
    /// Region of the VM.
    pub region: ids::RegionName,
    /// Address of the sidecar.
    pub addr: SocketAddr,
    /// Incarnation of the sidecar.
    pub incarnation: ids::Incarnation,
    /// Last state report from the sidecar.
    pub report: fleet::Report,
    /// Requests from this process that are running on the endpoint.
    pub in_flight: Arc<control::InFlightCounter>,
}

impl EndpointView {
    /// Returns running and queued requests divided by the concurrency limit; above 1
    /// requests are queued.
    #[must_use]
    pub fn load(&self) -> f64 {
        let running = self.report.running.max(self.in_flight.get()) + self.report.queued;
        f64::from(running) / f64::from(self.report.limit.max(1))
    }
}
