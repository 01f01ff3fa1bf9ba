//! The life of a fault: it waits, is in force, and is over.

use std::time::{Duration, Instant};

use quetzalworks::standin::Faults;
use serde_json::json;

use crate::soak::callers::BLUE;
use crate::soak::plan::{Kind, Planned};
use crate::soak::site::{Life, Site};

/// Delay of a slow link, in each direction.
const FAR: Duration = Duration::from_millis(150);

/// A fault that has not begun.
#[derive(Clone, Copy, Debug)]
pub struct Waiting(pub Planned);

/// A fault in force.
#[derive(Clone, Copy, Debug)]
pub struct Active {
    pub kind: Kind,
    /// Number of the entry or endpoint.
    pub target: usize,
    pub from: Instant,
    until: Instant,
}

/// A fault that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Over {
    pub kind: Kind,
    pub target: usize,
    pub from: Instant,
    pub to: Instant,
}

impl Waiting {
    /// Brings the fault about.
    pub fn start(self, site: &mut Site, now: Instant) -> Active {
        let Planned {
            kind,
            target,
            lasts,
            ..
        } = self.0;
        let target = if kind.is_of_entry() {
            target % site.nodes.len()
        } else {
            target % site.back_ends.len()
        };
        match kind {
            Kind::Leave => {
                site.put_endpoint(target, Some("draining"));
                site.back_ends[target].has_left = true;
            }
            Kind::AddRoute => site.change_config(|config| {
                let route = json!({
                    "Name": "r-new", "Host": "example.test", "PathPrefix": "/new/",
                    "Kind": "idempotent", "TimeoutMs": 2000, "Service": "desk", "MaxAttempts": 2,
                });
                config["Routes"].as_array_mut().unwrap().push(route);
            }),
            Kind::WithdrawKey => site.change_config(|config| {
                let tenants = config["Tenants"].as_array_mut().unwrap();
                tenants.retain(|tenant| tenant["Name"] != BLUE.0);
            }),
            Kind::StoreForgets => site.forget(),
            Kind::StoreReset => site.nodes[target].store.reset(),
            Kind::CallersReset => site.nodes[target].link.reset(),
            Kind::EndpointReset => site.back_ends[target].link.reset(),
            _ if kind.is_of_entry() && site.nodes[target].is_there() => {
                signal(kind, target, site, now);
            }
            _ => {}
        }
        Active {
            kind,
            target,
            from: now,
            until: now + lasts,
        }
    }
}

fn signal(kind: Kind, target: usize, site: &mut Site, now: Instant) {
    let node = &mut site.nodes[target];
    match kind {
        Kind::Terminate => {
            node.process.terminate();
            if node.life == Life::Runs {
                node.life = Life::Stops;
                node.stops_since = now;
            }
        }
        Kind::Reload => node.process.reload(),
        Kind::Kill => {
            node.process.crash();
            node.life = Life::Killed;
            node.lost_log = true;
        }
        Kind::Freeze => node.process.freeze(),
        _ => {}
    }
}

impl Active {
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Takes the fault back; `still` are those in force besides it.
    pub fn end(self, site: &mut Site, still: &[Self], now: Instant) -> Over {
        let same = |other: &Self| other.kind == self.kind && other.target == self.target;
        match self.kind {
            Kind::Freeze if !still.iter().any(same) => {
                let node = &mut site.nodes[self.target];
                if node.is_there() {
                    node.process.thaw();
                    node.stops_since = node.stops_since.max(now);
                }
            }
            Kind::Leave => site.put_endpoint(self.target, None),
            _ => {}
        }
        Over {
            kind: self.kind,
            target: self.target,
            from: self.from,
            to: now,
        }
    }

    /// What it does to a link.
    pub fn on_link(&self) -> Faults {
        match self.kind {
            Kind::StoreCut | Kind::CallersCut | Kind::EndpointCut => Faults::cut(),
            Kind::StoreDeaf | Kind::CallersDeaf | Kind::EndpointMute => Faults {
                cut_to_client: true,
                ..Faults::default()
            },
            Kind::StoreFar | Kind::CallersFar | Kind::EndpointFar => Faults {
                delay: FAR,
                ..Faults::default()
            },
            Kind::EndpointLosesAnswers => Faults {
                drop_response: true,
                ..Faults::default()
            },
            _ => Faults::default(),
        }
    }
}
