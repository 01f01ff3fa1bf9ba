//! What the holder of the lease keeps between ticks.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::control;
use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::ledger;

/// Time after which a record that has not been read back is asked for again.
const ASK_AGAIN: Duration = Duration::from_secs(5);

/// State of the driver. All that another holder needs is in the ledger.
#[derive(Debug, Default)]
pub struct Driver {
    /// Records that were asked for and when, so that each tick does not ask again.
    asked: Vec<(ledger::Body, Instant)>,
    /// Evidence that is being folded; only while the lease is held.
    pub folding: Option<Folding>,
    /// Answers that runs of entries have drawn from roll-outs.
    pub spent: HashMap<(Arc<str>, ids::VmName, ids::Incarnation), u64>,
    /// Loads in progress or waiting after a failure.
    pub loads: HashMap<(ids::VmName, ids::VersionName), LoadState>,
    /// When the last checkpoints of `config` and `control` were seen or asked for.
    pub checkpoints: [Option<(Option<ids::Offset>, Instant)>; 2],
}

/// Evidence folded since the lease was taken.
#[derive(Debug)]
pub struct Folding {
    /// The fencing number under which it is folded.
    pub fence: ids::Fence,
    /// The first record that is not included.
    pub next: ids::Offset,
    /// Decayed ratings.
    pub cells: HashMap<(ids::VersionName, estimate::RequestClass), estimate::Estimate>,
    /// Ratings of the present step of each roll-out.
    pub steps: HashMap<Arc<str>, (u32, estimate::Estimate)>,
    /// The last record of each run of an entry, to recognise repeated appends.
    pub sequences: HashMap<(ids::VmName, ids::Incarnation), u64>,
    /// Whether something is folded that is not published.
    pub changed: bool,
    /// When estimates were published last.
    pub published: Instant,
}

/// A load that was ordered.
#[derive(Clone, Copy, Debug)]
pub struct LoadState {
    /// Orders so far.
    pub tries: u32,
    /// When the order counts as failed, or may be repeated after a failure.
    pub until: Instant,
    /// Whether the order has failed.
    pub failed: bool,
}

impl Driver {
    /// Asks for a record unless the same was asked for lately. Returns whether it did.
    pub fn ask(&mut self, cx: &mut control::TickCx, from: ids::Offset, body: ledger::Body) -> bool {
        let now = cx.now;
        self.asked
            .retain(|(_, at)| now.saturating_duration_since(*at) < ASK_AGAIN);
        if self.asked.iter().any(|(other, _)| *other == body) {
            return false;
        }
        cx.append(from, &ledger::Entry::new(body.clone()));
        self.asked.push((body, now));
        true
    }

    /// Notes what an endpoint has answered to an order.
    pub fn load_mut(
        &mut self,
        vm: &ids::VmName,
        action: &fleet::OrderAction,
    ) -> Option<&mut LoadState> {
        let (fleet::OrderAction::Load(version) | fleet::OrderAction::Unload(version)) = action;
        self.loads.get_mut(&(vm.clone(), version.clone()))
    }
}
