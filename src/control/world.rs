//! The tables of control state.

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

/// All control state of a process; only the control thread has it.
#[derive(Debug)]
pub struct World {
    /// This process.
    pub me: fleet::Identity,
    /// Configuration in force.
    pub catalog: replica::Follower<catalog::Catalog>,
    /// Control state: lease, roll-outs, grants, estimates and crashes.
    pub ledger: replica::Follower<ledger::Ledger>,
    /// The lease as this process sees it.
    pub lease: lease::Any,
    /// What only the holder of the lease keeps.
    pub driver: control::Driver,
    /// What other entries have been told.
    pub gossip: control::Gossip,
    /// Time of the last tick.
    pub last_tick: Instant,
    /// Whether the last read of the log succeeded.
    pub log_available: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Endpoints.
    pub endpoints: table::Table<control::EndpointKey, ids::VmName, control::EndpointRow>,
    /// Endpoints to which no connection is kept, as enough others serve the same.
    pub dropped: HashSet<ids::VmName>,
    /// When the endpoints to connect to are chosen next; `None` before the first time.
    pub choice_due: Option<Instant>,
    /// Other entries.
    pub entries: table::Table<control::EntryKey, ids::VmName, control::EntryRow>,
    /// Other entries to which a connection is kept, with their addresses.
    pub peers: HashMap<ids::VmName, SocketAddr>,
    /// Profiles in force.
    pub profiles: table::Table<control::ProfileKey, ids::ProfileName, Arc<catalog::Profile>>,
    /// Versions in force.
    pub versions: table::Table<control::VersionKey, ids::VersionName, Arc<catalog::Version>>,
    /// Teams in force.
    pub teams: table::Table<control::TeamKey, ids::TeamName, Arc<catalog::Team>>,
    /// Services in force.
    pub services: table::Table<control::ServiceKey, ids::ServiceName, Arc<catalog::Service>>,
    /// Roll-outs that operators have ordered.
    pub rollouts: table::Table<control::RolloutKey, Arc<str>, catalog::RolloutPlan>,
    /// This entry's allotments, by roll-out.
    pub allotments: HashMap<Arc<str>, Arc<rollout::Allotment>>,
    /// Failure domains that operators have named; true where taken out.
    pub domains_out: HashMap<ids::DomainName, bool>,
    /// VMs that operators have named; true where taken out.
    pub vms_out: HashMap<ids::VmName, bool>,
    /// Entries that have told this process that its VM is leaving.
    pub leaving_by: HashSet<ids::VmName>,
    /// Published estimates.
    pub estimates: Arc<estimate::Estimates>,
    /// Requests under suspicion.
    pub quarantine: Arc<poison::Quarantine>,
    /// Crashes that the quarantine includes: those of the ledger and those not on record yet.
    pub counted_crashes: HashSet<fleet::Incident>,
    /// Crashes that are not on record yet.
    pub unrecorded: Vec<fleet::CrashReport>,
    /// Loads of versions at a time that the weight store bears.
    pub parallel_loads: usize,
    /// The evidence that the estimates include.
    pub estimated: Option<ids::Offset>,
}

impl World {
    /// Empty tables of the process `me`.
    #[must_use]
    pub fn new(me: fleet::Identity) -> Self {
        let now = Instant::now();
        let holder = lease::Holder {
            vm: me.vm.clone(),
            incarnation: me.incarnation,
        };
        Self {
            me,
            catalog: replica::Follower::default(),
            ledger: replica::Follower::default(),
            lease: lease::Any::new(holder, now),
            driver: control::Driver::default(),
            gossip: control::Gossip::default(),
            last_tick: now,
            log_available: false,
            stopping: false,
            endpoints: table::Table::default(),
            dropped: HashSet::new(),
            choice_due: None,
            entries: table::Table::default(),
            peers: HashMap::new(),
            profiles: table::Table::default(),
            versions: table::Table::default(),
            teams: table::Table::default(),
            services: table::Table::default(),
            rollouts: table::Table::default(),
            allotments: HashMap::new(),
            domains_out: HashMap::new(),
            vms_out: HashMap::new(),
            leaving_by: HashSet::new(),
            estimates: Arc::default(),
            quarantine: Arc::default(),
            counted_crashes: HashSet::new(),
            unrecorded: Vec::new(),
            parallel_loads: 1,
            estimated: None,
        }
    }

    /// The ledger's row of a roll-out, where it is for this plan.
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
            .filter(|row| row.progress.is_of(plan))
    }

    /// Roll-outs whose version the profile lists; the others are inactive.
    pub fn active_rollouts(&self) -> impl Iterator<Item = (&Arc<str>, &catalog::RolloutPlan)> {
        self.rollouts.named().filter(|(_, plan)| {
            self.profiles
                .by_name(&plan.profile)
                .is_some_and(|profile| profile.versions.contains(&plan.version))
        })
    }

    /// Whether a connection that was last heard from then is still in use.
    #[must_use]
    pub fn is_heard(link: Option<&control::Link>, now: Instant) -> bool {
        link.is_some_and(|link| now.saturating_duration_since(link.heard) < control::SILENCE)
    }

    /// Whether operators have taken the VM or its failure domain out.
    #[must_use]
    pub fn is_out(&self, vm: &ids::VmName, domain: &ids::DomainName) -> bool {
        self.vms_out.get(vm).copied().unwrap_or(false)
            || self.domains_out.get(domain).copied().unwrap_or(false)
    }
}
