//! Immutable view of the control state for the traffic threads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use slotmap::SecondaryMap;

use crate::catalog;
use crate::control;
use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::poison;
use crate::rollout;
use crate::services;
use crate::units;

/// Phase of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The configuration has not been read yet.
    #[default]
    Starting,
    /// In service.
    Serving,
    /// A planned stop has begun: no new work.
    Stopping,
}

/// What routing and admission know; replaced as a whole after a tick.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Phase of the process.
    pub phase: Phase,
    /// Whether the platform's log answered last time.
    pub log_available: bool,
    /// The last configuration record applied.
    pub config: Option<ids::Offset>,
    /// The last record of `control` applied.
    pub control: Option<ids::Offset>,
    /// Whether the control state has been read.
    pub control_ready: bool,
    /// What each known process has in force, this one first.
    pub in_force: Vec<InForce>,
    /// While this process holds the lease: its fencing number and the first
    /// record of `evidence` that is not folded.
    pub driving: Option<(ids::Fence, ids::Offset)>,
    /// Fencing number where this process is the holder in the ledger; `None`
    /// once a release is on record.
    pub leased: Option<ids::Fence>,
    /// Fencing number of the last accepted claim, whoever made it.
    pub fence: Option<ids::Fence>,
    /// Crashes that are not on record yet: those of this endpoint, at an entry
    /// those that endpoints have told.
    pub unrecorded: Vec<fleet::CrashReport>,
    /// Whether operators have taken this process's VM or failure domain out.
    pub self_out: bool,
    /// State of this process's VM in the platform's list, as entries tell it.
    pub self_state: services::VmState,
    /// Teams by the digest of their token.
    pub teams: HashMap<ids::Digest, TeamView>,
    /// Profiles.
    pub profiles: HashMap<ids::ProfileName, Arc<ProfileView>>,
    /// All versions, withdrawn ones too, for the cost of what has run.
    pub versions: HashMap<ids::VersionName, Arc<catalog::Version>>,
    /// Versions that are withdrawn.
    pub withdrawn: Vec<ids::VersionName>,
    /// How far each roll-out of the ledger is, also of those that have ended.
    pub rollouts: HashMap<Arc<str>, rollout::Progress>,
    /// Services.
    pub services: HashMap<ids::ServiceName, Arc<catalog::Service>>,
    /// Endpoints.
    pub endpoints: SecondaryMap<control::EndpointKey, EndpointView>,
    /// Endpoints that serve a version and take new work.
    pub by_version: HashMap<ids::VersionName, Vec<control::EndpointKey>>,
    /// Endpoints of a service that take new work.
    pub by_service: HashMap<ids::ServiceName, Vec<control::EndpointKey>>,
    /// Estimates of quality.
    pub estimates: Arc<estimate::Estimates>,
    /// Requests under suspicion.
    pub quarantine: Arc<poison::Quarantine>,
}

/// What a process has in force, as far as this process knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// The VM.
    pub vm: ids::VmName,
    /// Role of its process.
    pub role: fleet::NodeRole,
    /// Last `config` record applied; `None` where nothing is known.
    pub config: Option<ids::Offset>,
}

impl Snapshot {
    /// Whether a crash under the request waits to be put on record.
    #[must_use]
    pub fn is_unrecorded(&self, fingerprint: ids::Fingerprint) -> bool {
        let mut in_flight = self.unrecorded.iter().flat_map(|crash| &*crash.in_flight);
        in_flight.any(|(_, other)| *other == fingerprint)
    }

    /// Whether the process takes new work.
    #[must_use]
    pub const fn is_serving(&self) -> bool {
        matches!(self.phase, Phase::Serving)
    }

    /// Whether this process's VM is leaving according to the platform's list.
    #[must_use]
    pub fn self_leaving(&self) -> bool {
        self.self_state == services::VmState::Leaving
    }
}

/// A team.
#[derive(Clone, Debug)]
pub struct TeamView {
    /// Its name.
    pub name: ids::TeamName,
    /// Most requests of the team that this entry runs at a time.
    pub max_concurrent: u32,
}

/// A profile with its versions in order of cost.
#[derive(Clone, Debug)]
pub struct ProfileView {
    /// Its name.
    pub name: ids::ProfileName,
    /// Its content.
    pub profile: Arc<catalog::Profile>,
    /// Versions that are published and not withdrawn, cheapest first; without those in roll-out.
    pub versions: Vec<VersionView>,
    /// Versions in roll-out.
    pub rollouts: Vec<RolloutView>,
}

/// A version of a profile.
#[derive(Clone, Debug)]
pub struct VersionView {
    /// Its name.
    pub name: ids::VersionName,
    /// Its content.
    pub version: Arc<catalog::Version>,
}

/// A version that enters a profile.
#[derive(Clone, Debug)]
pub struct RolloutView {
    /// The roll-out's name.
    pub name: Arc<str>,
    /// The version.
    pub version: VersionView,
    /// Share of requests that it receives at the present step.
    pub share: units::Share,
    /// Answers that this entry may still draw from it.
    pub allotment: Arc<rollout::Allotment>,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// Its VM.
    pub vm: ids::VmName,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Its region.
    pub region: ids::RegionName,
    /// Address of the process beside it.
    pub addr: SocketAddr,
    /// The run of that process.
    pub incarnation: ids::Incarnation,
    /// Its last report.
    pub report: fleet::Report,
    /// Requests of this process that run there.
    pub in_flight: Arc<control::InFlight>,
}

impl EndpointView {
    /// Load relative to the limit; above 1 requests wait.
    #[must_use]
    pub fn load(&self) -> f64 {
        let running = self.report.running.max(self.in_flight.get()) + self.report.queued;
        f64::from(running) / f64::from(self.report.limit.max(1))
    }
}
