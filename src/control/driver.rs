//! State that the holder of the lease keeps between ticks.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::control;
use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::ledger;

/// Time after which a record that has not been read back from the log is
/// requested again.
const REAPPEND_AFTER: Duration = Duration::from_secs(5);

/// Private state of the lease holder. Everything that the next holder needs
/// to continue is in the ledger.
#[derive(Debug, Default)]
pub struct Driver {
    /// Recently requested records with the time of the request, so that a tick
    /// does not request the same record again.
    requested: Vec<(ledger::Body, Instant)>,
    /// Ratings aggregated so far; `None` while the lease is not held.
    pub evidence_fold: Option<EvidenceFold>,
    /// Answers that each entry incarnation has drawn from each rollout, by rollout name.
    pub spent: HashMap<(Arc<str>, ids::VmName, ids::Incarnation), u64>,
    /// Loads in progress or waiting for a retry, by endpoint and version.
    pub loads: HashMap<(ids::VmName, ids::VersionName), LoadState>,
    /// Last known checkpoint of `config` and of `control`, and the time from which
    /// its age counts; in the future while a requested checkpoint is not read back.
    pub checkpoints: [Option<(Option<ids::Offset>, Instant)>; 2],
}

/// Aggregate of the ratings published by the last lease holder and of the
/// evidence read since the lease was acquired.
#[derive(Debug)]
pub struct EvidenceFold {
    /// Fencing number of the lease under which the evidence is aggregated.
    pub fence: ids::Fence,
    /// Offset of the first `evidence` record that is not included.
    pub next: ids::Offset,
    /// Ratings by version and request class, decayed at each publication.
    pub cells: HashMap<(ids::VersionName, estimate::RequestClass), estimate::Estimate>,
    /// Current step of each rollout with the ratings received during it.
    pub steps: HashMap<Arc<str>, (u32, estimate::Estimate)>,
    /// Last evidence sequence number of each entry incarnation, to skip repeated appends.
    pub sequences: HashMap<(ids::VmName, ids::Incarnation), u64>,
    /// Whether evidence was added since the last publication.
    pub changed: bool,
    /// Time of the last publication of estimates.
    pub published: Instant,
}

/// State of an ordered load of a version.
#[derive(Clone, Copy, Debug)]
pub struct LoadState {
    /// Number of orders issued so far, including the current one.
    pub attempts: u32,
    /// Time at which the order times out or, after a failure, may be repeated.
    pub deadline: Instant,
    /// Whether the last order was refused, failed or timed out.
    pub failed: bool,
}

impl Driver {
    /// Requests the append of a record to `control` unless an equal one was
    /// requested within `REAPPEND_AFTER`. Returns whether it was requested.
    pub fn request_append(
        &mut self,
        cx: &mut control::TickCx,
        from: ids::Offset,
        body: ledger::Body,
    ) -> bool {
        let now = cx.now;
        self.requested
            .retain(|(_, at)| now.saturating_duration_since(*at) < REAPPEND_AFTER);
        if self.requested.iter().any(|(other, _)| *other == body) {
            return false;
        }
        cx.append(from, &ledger::Message::new(body.clone()));
        self.requested.push((body, now));
        true
    }

    /// Returns the state of the load that the order belongs to; `None` if no such
    /// load is tracked.
    pub fn load_mut(
        &mut self,
        vm: &ids::VmName,
        action: &fleet::OrderAction,
    ) -> Option<&mut LoadState> {
        let (fleet::OrderAction::Load(version) | fleet::OrderAction::Unload(version)) = action;
        self.loads.get_mut(&(vm.clone(), version.clone()))
    }
}
