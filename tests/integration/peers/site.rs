//! Real entries on loopback that share their reads.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::Method;
use quetzalworks::peers::{Duty, Member, Members};
use quetzalworks::platform::operator;
use quetzalworks::standin::StandinLog;
use serde_json::{Value, json};

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::{Entry, Site, is_ready, put_endpoint, put_record};
use crate::direct::world::config;
use crate::testing::{http, isolation, wait};

/// One more than read for themselves.
const ENTRIES: usize = 9;
/// Leases that the stand-in store divides.
const LEASES: u32 = 96;
/// Maximum wait of a reader's reads of the operator's topic.
const READER_WAIT: Duration = Duration::from_millis(750);

struct Fleet {
    store: StandinLog,
    entries: Vec<Entry>,
    duties: Vec<Duty>,
    endpoint: Endpoint,
}

impl Fleet {
    /// Starts entries in one failure domain, and waits until all followers follow.
    fn spawn() -> Self {
        let traffic = http::traffic();
        let store = smol::block_on(StandinLog::bind(isolation::free_addr(), &traffic)).unwrap();
        let endpoint = Endpoint::spawn("e-1", &[], Behaviour::Answer(200, "done"));
        let text = config(1).to_string();
        store.put(operator::TOPIC, "config", Some(text.as_bytes()));
        put_endpoint(&store, "desk", &endpoint, 1);
        let members: Vec<_> = (0..ENTRIES)
            .map(|i| member(&format!("edge-{i}"), isolation::free_addr()))
            .collect();
        let entries: Vec<_> = members
            .iter()
            .map(|own| {
                Entry::spawn_peer(own.vm.as_str(), own.place.clone().unwrap().1, store.addr())
            })
            .collect();
        let mut table = Members::default();
        table.replace(&members, LEASES);
        let domain = "north".parse().unwrap();
        let duties = members.iter().map(|own| table.duty(&own.vm, &domain));
        let fleet = Self {
            store,
            entries,
            duties: duties.collect(),
            endpoint,
        };
        for entry in &fleet.entries {
            wait::until("the entry is ready", || is_ready(entry.readiness));
        }
        for entry in fleet.followers() {
            wait::until("the entry follows", || {
                ["operator", "endpoints", "reports"]
                    .iter()
                    .all(|source| follows(entry, source))
            });
        }
        fleet
    }

    fn with_duty(&self, is_wanted: impl Fn(&Duty) -> bool) -> Vec<&Entry> {
        let pairs = self.entries.iter().zip(&self.duties);
        pairs
            .filter(|(_, duty)| is_wanted(duty))
            .map(|(entry, _)| entry)
            .collect()
    }

    fn followers(&self) -> Vec<&Entry> {
        self.with_duty(|duty| matches!(duty, Duty::Follow { .. }))
    }

    fn readers(&self) -> Vec<&Entry> {
        self.with_duty(|duty| *duty == Duty::Read)
    }

    fn put_config(&self, version: u64, path: &str) {
        let text = with_route(version, path).to_string();
        self.store
            .put(operator::TOPIC, "config", Some(text.as_bytes()));
    }
}

fn member(vm: &str, addr: SocketAddr) -> Member {
    format!("{vm}/north/{addr}").parse().unwrap()
}

/// Configuration with one more route, which all callers may use.
fn with_route(version: u64, path: &str) -> Value {
    let mut config = config(version);
    let route = json!({ "Name": "r-new", "Host": "example.test", "PathPrefix": path,
        "Kind": "idempotent", "TimeoutMs": 2000, "Service": "desk", "AllowAnonymous": true });
    config["Routes"].as_array_mut().unwrap().push(route);
    config
}

/// Whether the last thing that the entry has logged about a topic is that it follows.
fn follows(entry: &Entry, source: &str) -> bool {
    let log = entry.process.logged();
    let source = format!("\"source\":\"{source}\"");
    let last = log
        .lines()
        .rfind(|line| line.contains("\"part\":\"peers\"") && line.contains(&source));
    last.is_some_and(|line| line.contains("follows an entry"))
}

fn status(entry: &Entry, path: &str) -> u16 {
    Site::call_at(entry.callers, &Method::GET, path, "new", &[]).map_or(0, |answer| answer.status)
}

/// Guards against followers that read the store while their reader lives, and against a
/// configuration or a drain that readers do not pass on.
#[test]
fn followers_make_no_reads_while_their_reader_lives() {
    let fleet = Fleet::spawn();
    assert_eq!(fleet.readers().len(), 2);
    // A busy machine may make a follower read for itself for a while.
    wait::until("only the readers read the configuration", || {
        let (began, before) = (Instant::now(), fleet.store.calls("read_operator"));
        std::thread::sleep(4 * READER_WAIT);
        let reads = fleet.store.calls("read_operator") - before;
        let waits = began.elapsed().as_millis() / READER_WAIT.as_millis() + 2;
        u128::from(reads) <= 2 * waits
    });
    fleet.put_config(2, "/new/");
    for entry in &fleet.entries {
        wait::until("the configuration applies", || {
            status(entry, "/new/x") == 200
        });
    }
    let (id, addr) = (fleet.endpoint.id, fleet.endpoint.addr);
    put_record(&fleet.store, "desk", id, addr, "draining", 2);
    for entry in &fleet.entries {
        wait::until("the drain applies", || status(entry, "/new/x") == 503);
    }
}

/// Guards against followers that wait for a reader which is frozen or dead, and against a
/// reader that turns back what has changed while it was frozen.
#[test]
fn followers_of_a_lost_reader_read_for_themselves() {
    struct Case {
        name: &'static str,
        lose: fn(&Entry),
        regain: fn(&Entry),
    }
    let cases = [
        Case {
            name: "frozen",
            lose: |reader| reader.process.suspend(),
            regain: |reader| reader.process.resume(),
        },
        Case {
            name: "killed",
            lose: |reader| reader.process.kill_unreaped(),
            regain: |_| (),
        },
    ];
    for case in cases {
        let fleet = Fleet::spawn();
        for reader in fleet.readers() {
            (case.lose)(reader);
        }
        fleet.put_config(2, "/new/");
        let (id, addr) = (fleet.endpoint.id, fleet.endpoint.addr);
        for entry in fleet.followers() {
            wait::until(case.name, || status(entry, "/new/x") == 200);
        }
        put_record(&fleet.store, "desk", id, addr, "draining", 2);
        for entry in fleet.followers() {
            wait::until(case.name, || status(entry, "/new/x") == 503);
        }
        fleet.put_config(3, "/newer/");
        for entry in fleet.followers() {
            wait::until(case.name, || status(entry, "/newer/x") == 503);
        }
        for reader in fleet.readers() {
            (case.regain)(reader);
        }
        // Longer than the reader needs to read, and its followers to follow it again.
        let until = Instant::now() + 8 * READER_WAIT;
        while Instant::now() < until {
            for entry in fleet.followers() {
                let status = status(entry, "/new/x");
                assert!(matches!(status, 404 | 503), "{}: {status}", case.name);
            }
            std::thread::sleep(READER_WAIT / 4);
        }
        for entry in fleet.followers() {
            wait::until(case.name, || status(entry, "/new/x") == 404);
        }
    }
}
