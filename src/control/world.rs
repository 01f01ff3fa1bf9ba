//! The tables that make up the control state.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::catalog;
use crate::control;
use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::lease;
use crate::ledger;
use crate::poison;
use crate::replica;
use crate::rollout;
use crate::table;

/// All control state of a process, owned by the control thread.
#[derive(Debug)]
pub struct World {
    /// Identity of this process.
    pub identity: fleet::Identity,
    /// Replica of the catalog, built from the `config` stream.
    pub catalog: replica::Follower<catalog::Catalog>,
    /// Replica of the ledger, built from the `control` stream: lease, rollouts,
    /// grants, estimates and crashes.
    pub ledger: replica::Follower<ledger::Ledger>,
    /// State of the lease from this process's point of view.
    pub lease: lease::AnyLease,
    /// Private state of the lease holder.
    pub driver: control::Driver,
    /// State of the gossip with other entries.
    pub gossip: control::Gossip,
    /// Time at which the last tick started.
    pub last_tick: Instant,
    /// Whether the log is available: set by a successful read of `config`, cleared
    /// by a failed read of `config` or `control`.
    pub log_available: bool,
    /// Whether a planned stop of this process has begun.
    pub stopping: bool,
    /// Endpoints in the platform's list or still connected.
    pub endpoints: table::Table<control::EndpointKey, ids::VmName, control::EndpointRow>,
    /// Endpoints that were disconnected because enough others serve the same
    /// versions or service.
    pub deselected: HashSet<ids::VmName>,
    /// Time of the next selection of endpoints to connect to; `None` before the first.
    pub next_selection: Option<Instant>,
    /// Other entries in the platform's list.
    pub entries: table::Table<control::EntryKey, ids::VmName, control::EntryRow>,
    /// Addresses of the entries selected for a connection.
    pub peers: HashMap<ids::VmName, SocketAddr>,
    /// Profiles in force, from the catalog.
    pub profiles: table::Table<control::ProfileKey, ids::ProfileName, Arc<catalog::Profile>>,
    /// Versions in force, including withdrawn ones.
    pub versions: table::Table<control::VersionKey, ids::VersionName, Arc<catalog::Version>>,
    /// Teams in force, from the catalog.
    pub teams: table::Table<control::TeamKey, ids::TeamName, Arc<catalog::Team>>,
    /// Plain services in force, from the catalog.
    pub services: table::Table<control::ServiceKey, ids::ServiceName, Arc<catalog::Service>>,
    /// Rollout plans that operators have ordered.
    pub rollouts: table::Table<control::RolloutKey, Arc<str>, catalog::RolloutPlan>,
    /// Answers that this entry may draw from versions in rollout, by rollout name.
    pub allotments: HashMap<Arc<str>, Arc<rollout::Allotment>>,
    /// Failure domains in the catalog; `true` if out of service.
    pub domains_out_of_service: HashMap<ids::DomainName, bool>,
    /// VMs in the catalog; `true` if out of service.
    pub vms_out_of_service: HashMap<ids::VmName, bool>,
    /// Entries that have notified this sidecar that its VM is leaving.
    pub leaving_reported_by: HashSet<ids::VmName>,
    /// Quality estimates as last published in the ledger.
    pub estimates: Arc<estimate::Estimates>,
    /// Fingerprints of requests that were in flight during crashes.
    pub quarantine: Arc<poison::Quarantine>,
    /// Crashes counted in the quarantine: those in the ledger and the unrecorded ones.
    pub counted_crashes: HashSet<fleet::CrashId>,
    /// Crashes that are not in the ledger yet.
    pub unrecorded_crashes: Vec<fleet::CrashReport>,
    /// Maximum number of version loads in progress at a time, as the weight store
    /// allows; from the settings.
    pub parallel_loads: usize,
    /// Offset of the first `evidence` record that the estimates do not include;
    /// `None` before estimates were taken from the ledger.
    pub estimates_up_to: Option<ids::Offset>,
}

impl World {
    /// Creates the empty tables of the process `identity`.
    #[must_use]
    pub fn new(identity: fleet::Identity) -> Self {
        let now = Instant::now();
        let holder = lease::Holder {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
        };
        Self {
            identity,
            catalog: replica::Follower::default(),
            ledger: replica::Follower::default(),
            lease: lease::AnyLease::new(holder, now),
            driver: control::Driver::default(),
            gossip: control::Gossip::default(),
            last_tick: now,
            log_available: false,
            stopping: false,
            endpoints: table::Table::default(),
            deselected: HashSet::new(),
            next_selection: None,
            entries: table::Table::default(),
            peers: HashMap::new(),
            profiles: table::Table::default(),
            versions: table::Table::default(),
            teams: table::Table::default(),
            services: table::Table::default(),
            rollouts: table::Table::default(),
            allotments: HashMap::new(),
            domains_out_of_service: HashMap::new(),
            vms_out_of_service: HashMap::new(),
            leaving_reported_by: HashSet::new(),
            estimates: Arc::default(),
            quarantine: Arc::default(),
            counted_crashes: HashSet::new(),
            unrecorded_crashes: Vec::new(),
            parallel_loads: 1,
            estimates_up_to: None,
        }
    }

    /// Returns the ledger's row of a rollout; `None` if there is none or it belongs
    /// to another plan of the same name.
    #[must_use]
    pub fn rollout_row(
        &self,
        name: &str,
        plan: &catalog::RolloutPlan,
    ) -> Option<&ledger::RolloutRow> {
        self.ledger
            .state()
            .rollouts
            .get(name)
            .filter(|row| row.progress.matches_plan(plan))
    }

    /// Iterates over the rollouts whose version is listed in the profile; the others
    /// are inactive.
    pub fn active_rollouts(&self) -> impl Iterator<Item = (&Arc<str>, &catalog::RolloutPlan)> {
        self.rollouts.iter_named().filter(|(_, plan)| {
            self.profiles
                .by_name(&plan.profile)
                .is_some_and(|profile| profile.versions.contains(&plan.version))
        })
    }

    /// Returns whether a connection exists and had activity within
    /// [`control::SILENCE_TIMEOUT`].
    #[must_use]
    pub fn is_responsive(link: Option<&control::Link>, now: Instant) -> bool {
        link.is_some_and(|link| {
            now.saturating_duration_since(link.last_seen) < control::SILENCE_TIMEOUT
        })
    }

    /// Returns whether operators have taken the VM or its failure domain out of service.
    #[must_use]
    pub fn is_out_of_service(&self, vm: &ids::VmName, domain: &ids::DomainName) -> bool {
        self.vms_out_of_service.get(vm).copied().unwrap_or(false)
            || self
                .domains_out_of_service
                .get(domain)
                .copied()
                .unwrap_or(false)
    }
}
