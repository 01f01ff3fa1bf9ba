//! Life cycle of a fault as types: scheduled, active, ended.

use std::time::{Duration, Instant};

use quetzalworks::standin::Faults;
use serde_json::json;

use crate::soak::callers::BLUE;
use crate::soak::plan::{FaultKind, Planned};
use crate::soak::site::{ProcessState, Site};

/// Added delay of a slow link in each direction.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(150);

/// A fault that has not started yet.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault(pub Planned);

/// A fault in effect.
#[derive(Clone, Copy, Debug)]
pub struct ActiveFault {
    pub kind: FaultKind,
    /// Index of the entry or endpoint that is affected.
    pub target: usize,
    pub from: Instant,
    until: Instant,
}

/// A fault that has ended, with the time it was in effect.
#[derive(Clone, Copy, Debug)]
pub struct EndedFault {
    pub kind: FaultKind,
    pub target: usize,
    pub from: Instant,
    pub to: Instant,
}

impl ScheduledFault {
    /// Starts the fault; its target is taken modulo the number of entries or endpoints.
    pub fn start(self, site: &mut Site, now: Instant) -> ActiveFault {
        let Planned {
            kind,
            target,
            duration,
            ..
        } = self.0;
        let target = if kind.affects_entry() {
            target % site.nodes.len()
        } else {
            target % site.back_ends.len()
        };
        match kind {
            FaultKind::Leave => {
                site.put_endpoint(target, Some("draining"));
                site.back_ends[target].has_left = true;
            }
            FaultKind::AddRoute => site.change_config(|config| {
                let route = json!({
                    "Name": "r-new", "Host": "example.test", "PathPrefix": "/new/",
                    "Kind": "idempotent", "TimeoutMs": 2000, "Service": "desk", "MaxAttempts": 2,
                });
                config["Routes"].as_array_mut().unwrap().push(route);
            }),
            FaultKind::WithdrawKey => site.change_config(|config| {
                let tenants = config["Tenants"].as_array_mut().unwrap();
                tenants.retain(|tenant| tenant["Name"] != BLUE.0);
            }),
            FaultKind::StoreForgets => site.truncate_topics(),
            FaultKind::StoreRestored => site.copy_store(),
            FaultKind::StoreReset => site.nodes[target].store.reset(),
            FaultKind::CallersReset => site.nodes[target].link.reset(),
            FaultKind::EndpointReset => site.back_ends[target].link.reset(),
            _ if kind.affects_entry() && site.nodes[target].has_process() => {
                signal(kind, target, site, now);
            }
            _ => {}
        }
        ActiveFault {
            kind,
            target,
            from: now,
            until: now + duration,
        }
    }
}

/// Sends the signal of a fault on a process and updates the process's state.
fn signal(kind: FaultKind, target: usize, site: &mut Site, now: Instant) {
    let node = &mut site.nodes[target];
    match kind {
        FaultKind::Terminate => {
            node.process.terminate();
            if node.state == ProcessState::Running {
                node.state = ProcessState::Stopping;
                node.stopping_since = now;
            }
        }
        FaultKind::Reload => node.process.reload(),
        FaultKind::Kill => {
            node.process.kill_unreaped();
            node.state = ProcessState::Killed;
            node.is_log_incomplete = true;
        }
        FaultKind::Freeze => node.process.suspend(),
        _ => {}
    }
}

impl ActiveFault {
    /// Returns whether the fault's duration has passed.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Ends the fault; `others` are those that stay in effect. A frozen process is
    /// resumed with the last fault that freezes it.
    pub fn end(self, site: &mut Site, others: &[Self], now: Instant) -> EndedFault {
        let same = |other: &Self| other.kind == self.kind && other.target == self.target;
        match self.kind {
            FaultKind::Freeze if !others.iter().any(same) => {
                let node = &mut site.nodes[self.target];
                if node.has_process() {
                    node.process.resume();
                    node.stopping_since = node.stopping_since.max(now);
                }
            }
            FaultKind::Leave => site.put_endpoint(self.target, None),
            FaultKind::StoreRestored => site.restore_store(),
            _ => {}
        }
        EndedFault {
            kind: self.kind,
            target: self.target,
            from: self.from,
            to: now,
        }
    }

    /// Returns the faults that it injects into a link; none for other kinds.
    pub fn link_faults(&self) -> Faults {
        match self.kind {
            FaultKind::StoreCut | FaultKind::CallersCut | FaultKind::EndpointCut => Faults::cut(),
            FaultKind::StoreDeaf | FaultKind::CallersDeaf | FaultKind::EndpointMute => Faults {
                cut_to_client: true,
                ..Faults::default()
            },
            FaultKind::StoreFar | FaultKind::CallersFar | FaultKind::EndpointFar => Faults {
                delay: SLOW_LINK_DELAY,
                ..Faults::default()
            },
            FaultKind::EndpointLosesAnswers => Faults {
                drop_response: true,
                ..Faults::default()
            },
            _ => Faults::default(),
        }
    }
}
