//! Exchange of records between processes, without I/O and with real processes.

use std::time::{Duration, Instant};

use quetzalworks::catalog::{Availability, Body, Change, Object, Record};
use quetzalworks::control::{Effect, Event, LogPage, TickCx, World};
use quetzalworks::fleet::{Identity, NodeRole, Report};
use quetzalworks::ids::{ChangeId, Incarnation, Offset, Revision};
use quetzalworks::services::{Vm, VmState};
use quetzalworks::{system, wire};

use crate::testing::cluster::Cluster;
use crate::testing::wait;

fn identity(vm: &str, role: NodeRole) -> Identity {
    Identity {
        vm: vm.parse().unwrap(),
        domain: "north".parse().unwrap(),
        region: "region-1".parse().unwrap(),
        incarnation: Incarnation(1),
        role,
    }
}

fn listed(vm: &str, role: NodeRole) -> Vm {
    Vm {
        vm: vm.parse().unwrap(),
        domain: "north".parse().unwrap(),
        region: "region-1".parse().unwrap(),
        role,
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        state: VmState::Live,
    }
}

/// A stream in which domain `north` is taken out and in again by turns.
fn records(count: u64) -> Vec<Record> {
    let record = |offset| Record {
        offset: Offset(offset),
        body: Some(Body::Change(Change {
            id: ChangeId(u128::from(offset)),
            object: "domains/north".parse().unwrap(),
            base: Revision(offset),
            content: Some(Object::Domain(Availability {
                out: offset % 2 == 0,
            })),
            author: "test".into(),
        })),
    };
    (0..count).map(record).collect()
}

fn tick(world: &mut World, now: Instant, events: Vec<Event>) -> Vec<Effect> {
    let systems = match world.me.role {
        NodeRole::Entry => system::ENTRY,
        NodeRole::Sidecar => system::SIDECAR,
    };
    let mut cx = TickCx::new(now, events);
    for system in systems {
        system(world, &mut cx);
    }
    world.last_tick = now;
    cx.effects
}

fn page(records: &[Record]) -> Event {
    Event::ConfigPage(LogPage {
        first_retained: Offset(0),
        end: Offset(records.len() as u64),
        records: records.to_vec(),
    })
}

struct Case {
    name: &'static str,
    role: NodeRole,
    /// Records that the entry has, and those that the other process has read
    /// before it lost the log; `None` where it never reached the log.
    has: u64,
    read: Option<u64>,
}

/// Guards against a process that stays behind because it has lost the log
/// while others have not.
#[test]
fn lagging_process_gets_what_it_lacks() {
    let cases = [
        Case {
            name: "entry without anything",
            role: NodeRole::Entry,
            has: 3,
            read: None,
        },
        Case {
            name: "entry that lags by one",
            role: NodeRole::Entry,
            has: 3,
            read: Some(2),
        },
        Case {
            name: "entry that lags by more than one update holds",
            role: NodeRole::Entry,
            has: 901,
            read: Some(1),
        },
        Case {
            name: "entry that lags by more than is kept",
            role: NodeRole::Entry,
            has: 20_001,
            read: Some(1),
        },
        Case {
            name: "endpoint without anything",
            role: NodeRole::Sidecar,
            has: 3,
            read: None,
        },
        Case {
            name: "endpoint that lags",
            role: NodeRole::Sidecar,
            has: 3,
            read: Some(2),
        },
    ];
    for case in cases {
        let all = records(case.has);
        let mut now = Instant::now();
        let mut from = World::new(identity("entry-0", NodeRole::Entry));
        let mut to = World::new(identity("other", case.role));
        let events = vec![
            Event::Inventory(vec![listed("other", case.role)]),
            Event::LinkUp(to.me.clone()),
            page(&all),
        ];
        tick(&mut from, now, events);
        if let Some(read) = case.read {
            let read = usize::try_from(read).unwrap();
            tick(&mut to, now, vec![page(&all[..read])]);
        }
        for _ in 0..5 {
            now += Duration::from_secs(1);
            let config = to.catalog.applied();
            let vm = to.me.vm.clone();
            let told = match case.role {
                NodeRole::Entry => Event::Applied {
                    vm,
                    config,
                    control: None,
                },
                NodeRole::Sidecar => Event::Report(
                    vm,
                    Report {
                        config,
                        ..Report::default()
                    },
                ),
            };
            let effects = tick(&mut from, now, vec![told]);
            let heard = effects.into_iter().filter_map(|effect| match effect {
                Effect::Send(_, wire::Update::Config(records)) => {
                    Some(Event::ConfigFromPeer(wire::decode_config(&records)))
                }
                _ => None,
            });
            let heard = heard.collect();
            tick(&mut to, now, heard);
        }
        assert_eq!(
            to.catalog.applied(),
            from.catalog.applied(),
            "{}",
            case.name
        );
        assert!(to.is_out(&to.me.vm, &to.me.domain), "{}", case.name);
        let snapshot = system::snapshot::take(&from, now);
        let known = snapshot.in_force.iter().map(|row| row.config).min();
        assert_eq!(known, Some(from.catalog.applied()), "{}", case.name);
    }
}

/// Guards against entries that do not connect to each other, or of which
/// none takes the lease.
#[test]
fn entries_connect_and_one_leads() {
    let cluster = Cluster::start(2, 2);
    let logs = || {
        let logged = cluster.entries.iter().map(|entry| entry.process.logged());
        logged.collect::<Vec<String>>()
    };
    wait::until("entries are connected", || {
        logs()
            .iter()
            .all(|log| log.contains("peer: connected to entry"))
    });
    wait::until("one entry holds the lease", || {
        logs().iter().any(|log| log.contains("lease: held"))
    });
}
