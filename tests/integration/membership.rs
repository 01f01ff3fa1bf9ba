//! Exchange of log records between processes: without I/O, and with real processes.

use std::time::{Duration, Instant};

use hyper::{Method, StatusCode, Uri};
use quetzalworks::catalog::{Availability, Body, Change, Object, Record};
use quetzalworks::control::{Effect, Event, LogPage, TickCx, World};
use quetzalworks::fleet::{Identity, NodeRole, Report};
use quetzalworks::ids::{ChangeId, Incarnation, Offset, Revision};
use quetzalworks::platform::PlatformError;
use quetzalworks::platform_clients::{InventoryClient, Vm, VmState};
use quetzalworks::{system, wire};

use crate::testing::cluster::Cluster;
use crate::testing::{http, scripted, wait};

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

/// Creates `count` configuration records that alternately take domain `north` out
/// of service and return it; it is out of service after an odd number.
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
    let systems = match world.identity.role {
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
    /// Number of records that the entry has read.
    entry_records: u64,
    /// Number of records that the other process has read before it lost the log;
    /// `None` if it never reached the log.
    lagging_records: Option<u64>,
}

/// Guards against a process that stays behind because it has lost the log,
/// although others still read the log and can forward its records.
#[test]
fn lagging_process_receives_missing_records() {
    let cases = [
        Case {
            name: "entry without records",
            role: NodeRole::Entry,
            entry_records: 3,
            lagging_records: None,
        },
        Case {
            name: "entry that lags by one record",
            role: NodeRole::Entry,
            entry_records: 3,
            lagging_records: Some(2),
        },
        Case {
            name: "entry that lags by more records than one update holds",
            role: NodeRole::Entry,
            entry_records: 901,
            lagging_records: Some(1),
        },
        Case {
            name: "entry that lags by more records than the other keeps",
            role: NodeRole::Entry,
            entry_records: 20_001,
            lagging_records: Some(1),
        },
        Case {
            name: "sidecar without records",
            role: NodeRole::Sidecar,
            entry_records: 3,
            lagging_records: None,
        },
        Case {
            name: "sidecar that lags by one record",
            role: NodeRole::Sidecar,
            entry_records: 3,
            lagging_records: Some(2),
        },
    ];
    for case in cases {
        let all = records(case.entry_records);
        let mut now = Instant::now();
        let mut entry = World::new(identity("entry-0", NodeRole::Entry));
        let mut lagging = World::new(identity("other", case.role));
        let events = vec![
            Event::Inventory(vec![listed("other", case.role)]),
            Event::LinkUp(lagging.identity.clone()),
            page(&all),
        ];
        tick(&mut entry, now, events);
        if let Some(count) = case.lagging_records {
            let count = usize::try_from(count).unwrap();
            tick(&mut lagging, now, vec![page(&all[..count])]);
        }
        for _ in 0..5 {
            now += Duration::from_secs(1);
            let config = lagging.catalog.applied();
            let vm = lagging.identity.vm.clone();
            let progress = match case.role {
                NodeRole::Entry => Event::AppliedOffsets {
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
            let effects = tick(&mut entry, now, vec![progress]);
            let forwarded = effects.into_iter().filter_map(|effect| match effect {
                Effect::Send(_, wire::Update::Config(records)) => {
                    Some(Event::ConfigFromPeer(wire::decode_config(&records)))
                }
                _ => None,
            });
            let forwarded = forwarded.collect();
            tick(&mut lagging, now, forwarded);
        }
        assert_eq!(
            lagging.catalog.applied(),
            entry.catalog.applied(),
            "{}",
            case.name
        );
        assert!(
            lagging.is_out_of_service(&lagging.identity.vm, &lagging.identity.domain),
            "{}",
            case.name
        );
        let snapshot = system::snapshot::build(&entry, now);
        let oldest = snapshot.applied_configs.iter().map(|row| row.config).min();
        assert_eq!(oldest, Some(entry.catalog.applied()), "{}", case.name);
    }
}

/// Guards against entries that do not connect to each other, or none of which
/// acquires the lease.
#[test]
fn entries_connect_and_one_holds_the_lease() {
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

/// Guards against entries that know no VM at all, as one in the list is described otherwise.
#[test]
fn an_odd_vm_costs_itself_only() {
    struct Case {
        name: &'static str,
        vm: &'static str,
    }
    let case = |name, vm| Case { name, vm };
    let cases = [
        case("no fields", "{}"),
        case("a number", "7"),
        case("null", "null"),
        case(
            "an odd name",
            r#"{"vm":"a&b","domain":"north","region":"r","role":"entry","peer_addr":"127.0.0.1:1","state":"live"}"#,
        ),
        case(
            "an unknown role",
            r#"{"vm":"b","domain":"north","region":"r","role":"store","peer_addr":"127.0.0.1:1","state":"live"}"#,
        ),
        case(
            "half of a surrogate",
            r#"{"vm":"\ud800","domain":"north","region":"r","role":"entry","peer_addr":"127.0.0.1:1","state":"live"}"#,
        ),
    ];
    let good = ["a", "z"].map(|vm| listed(vm, NodeRole::Entry));
    let json = good.each_ref().map(|vm| serde_json::to_string(vm).unwrap());
    for case in cases {
        let among_others = format!("[{},{},{}]", json[0], case.vm, json[1]);
        assert_eq!(
            read_list(among_others),
            Ok(Some(good.to_vec())),
            "{}",
            case.name
        );
        // Otherwise an entry would leave all others.
        assert!(
            read_list(format!("[{}]", case.vm)).is_err(),
            "{}",
            case.name
        );
    }
    assert_eq!(read_list("[]".into()), Ok(Some(Vec::new())));
}

/// Reads a list of VMs with this body.
fn read_list(body: String) -> Result<Option<Vec<Vm>>, PlatformError> {
    smol::block_on(async {
        let answer = move |_: &Method, _: &Uri| (StatusCode::OK, body.clone().into());
        let server = scripted::bind(answer).await;
        let mut inventory = InventoryClient::new(server.addr(), http::traffic());
        inventory.fetch_if_changed().await
    })
}
