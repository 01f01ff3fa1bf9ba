//! The tables of control state.

use std::collections::HashMap;
use std::sync::Arc;

use crate::catalog;
use crate::control;
use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::poison;
use crate::rollout;
use crate::table;

/// All control state of a process; only the control thread has it.
#[derive(Debug)]
pub struct World {
    /// This process.
    pub me: fleet::Identity,
    /// Configuration in force.
    pub catalog: catalog::Catalog,
    /// Records read before the catalog could be built; empty afterwards.
    pub backlog: Vec<catalog::Record>,
    /// Whether the catalog has been read up to the log's end once.
    pub caught_up: bool,
    /// Whether the last read of the log succeeded.
    pub log_available: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Endpoints.
    pub endpoints: table::Table<control::EndpointKey, ids::VmName, control::EndpointRow>,
    /// Other entries.
    pub entries: table::Table<control::EntryKey, ids::VmName, control::EntryRow>,
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
    /// Published estimates.
    pub estimates: Arc<estimate::Estimates>,
    /// Requests under suspicion.
    pub quarantine: Arc<poison::Quarantine>,
}

impl World {
    /// Empty tables of the process `me`.
    #[must_use]
    pub fn new(me: fleet::Identity) -> Self {
        Self {
            me,
            catalog: catalog::Catalog::default(),
            backlog: Vec::new(),
            caught_up: false,
            log_available: false,
            stopping: false,
            endpoints: table::Table::default(),
            entries: table::Table::default(),
            profiles: table::Table::default(),
            versions: table::Table::default(),
            teams: table::Table::default(),
            services: table::Table::default(),
            rollouts: table::Table::default(),
            allotments: HashMap::new(),
            domains_out: HashMap::new(),
            vms_out: HashMap::new(),
            estimates: Arc::default(),
            quarantine: Arc::default(),
        }
    }

    /// Whether operators have taken the VM or its failure domain out.
    #[must_use]
    pub fn is_out(&self, vm: &ids::VmName, domain: &ids::DomainName) -> bool {
        self.vms_out.get(vm).copied().unwrap_or(false)
            || self.domains_out.get(domain).copied().unwrap_or(false)
    }
}
