//! Tests of single systems over the control tables, without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use quetzalworks::catalog;
use quetzalworks::control::{Effect, Event, LogPage, TickCx, World};
use quetzalworks::estimate::Estimate;
use quetzalworks::fleet::{CrashReport, Identity, NodeRole, OrderAction, Report};
use quetzalworks::ids::{ChangeId, Fence, Fingerprint, Incarnation, Offset, RequestId, Revision};
use quetzalworks::lease::Holder;
use quetzalworks::ledger::{
    Body, Checkpoint, LeaseAction, Ledger, Message, Record, RolloutTransition,
};
use quetzalworks::platform_clients::{Vm, VmState};
use quetzalworks::poison::Suspicion;
use quetzalworks::replica::Follower;
use quetzalworks::rollout::StepDecision;
use quetzalworks::system;
use quetzalworks::units::Quality;
use serde_json::json;

const SECOND: Duration = Duration::from_secs(1);

fn identity(vm: &str, domain: &str, role: NodeRole) -> Identity {
    Identity {
        vm: vm.parse().unwrap(),
        domain: domain.parse().unwrap(),
        region: "region-1".parse().unwrap(),
        incarnation: Incarnation(1),
        role,
    }
}

fn entry_world() -> World {
    World::new(identity("entry-0", "d0", NodeRole::Entry))
}

fn run(world: &mut World, now: Instant, events: Vec<Event>) -> Vec<Effect> {
    let mut cx = TickCx::new(now, events);
    for system in system::ENTRY {
        system(world, &mut cx);
    }
    world.last_tick = now;
    cx.effects
}

fn record(offset: u64, body: Body) -> Record {
    Record {
        offset: Offset(offset),
        entry: Some(Message {
            id: ChangeId(u128::from(offset)),
            body,
        }),
    }
}

fn page(first_retained: u64, records: Vec<Record>) -> LogPage<Record> {
    let end = records
        .last()
        .map_or(Offset(first_retained), |record| record.offset.next());
    LogPage {
        first_retained: Offset(first_retained),
        end,
        records,
    }
}

/// Returns the events that list endpoints `e<i>` with their domains, connect them
/// and report their versions.
fn endpoints(rows: &[(&str, &[&str])]) -> Vec<Event> {
    let name = |i: usize| format!("e{i}");
    let vm = |(i, (domain, _)): (usize, &(&str, &[&str]))| Vm {
        vm: name(i).parse().unwrap(),
        domain: domain.parse().unwrap(),
        region: "region-1".parse().unwrap(),
        role: NodeRole::Sidecar,
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        state: VmState::Live,
    };
    let mut events = vec![Event::Inventory(rows.iter().enumerate().map(vm).collect())];
    for (i, (domain, _)) in rows.iter().enumerate() {
        events.push(Event::LinkUp(identity(&name(i), domain, NodeRole::Sidecar)));
    }
    events.extend(reports(rows));
    events
}

fn reports(rows: &[(&str, &[&str])]) -> Vec<Event> {
    let report = |(i, (_, versions)): (usize, &(&str, &[&str]))| {
        let report = Report {
            versions: versions.iter().map(|name| name.parse().unwrap()).collect(),
            accepting: true,
            ..Report::default()
        };
        Event::Report(format!("e{i}").parse().unwrap(), report)
    };
    rows.iter().enumerate().map(report).collect()
}

fn claim(vm: &str, base: Option<u64>) -> Body {
    Body::Lease {
        holder: Holder {
            vm: vm.parse().unwrap(),
            incarnation: Incarnation(1),
        },
        base: base.map(Offset),
        action: LeaseAction::Claim,
    }
}

/// Guards against a process that starts after old records have expired and gets
/// a different state than the others, or becomes ready with records missing.
#[test]
fn start_after_records_expired() {
    struct Case {
        name: &'static str,
        first_retained: u64,
        /// Offset of the checkpoint, and the number of records that it covers.
        checkpoint: Option<(u64, usize)>,
        ready: bool,
    }
    let cases = [
        Case {
            name: "nothing expired",
            first_retained: 0,
            checkpoint: None,
            ready: true,
        },
        Case {
            name: "records expired without a checkpoint",
            first_retained: 2,
            checkpoint: None,
            ready: false,
        },
        Case {
            name: "checkpoint of all expired records",
            first_retained: 2,
            checkpoint: Some((4, 2)),
            ready: true,
        },
        Case {
            name: "checkpoint of more than the expired records",
            first_retained: 2,
            checkpoint: Some((4, 4)),
            ready: true,
        },
        Case {
            name: "checkpoint of too few records",
            first_retained: 3,
            checkpoint: Some((4, 2)),
            ready: false,
        },
    ];
    for case in cases {
        let mut all: Vec<Record> = (0..6)
            .map(|i| {
                record(
                    i,
                    claim(if i % 2 == 0 { "a" } else { "b" }, i.checked_sub(1)),
                )
            })
            .collect();
        if let Some((at, covered)) = case.checkpoint {
            let mut ledger = Ledger::default();
            for record in &all[..covered] {
                ledger.apply(record);
            }
            let checkpoint: Checkpoint = ledger.checkpoint().unwrap();
            let at = usize::try_from(at).unwrap();
            all[at] = record(4, Body::Checkpoint(checkpoint));
            all[at + 1] = record(5, claim("c", Some(3)));
        }
        let mut complete = Ledger::default();
        for record in &all {
            complete.apply(record);
        }
        let mut late_follower = Follower::<Ledger>::default();
        let start = usize::try_from(case.first_retained).unwrap();
        let advance = late_follower.read(&page(case.first_retained, all[start..].to_vec()));
        for record in &advance.records {
            late_follower.machine_for(record).apply(record);
        }
        assert_eq!(late_follower.is_caught_up(), case.ready, "{}", case.name);
        if case.ready {
            assert_eq!(*late_follower, complete, "{}", case.name);
        }
    }
}

struct CrashCase {
    name: &'static str,
    /// Endpoint and incident number of each crash, as recorded.
    crashes: Vec<(&'static str, u32)>,
    completed: bool,
    /// Expected once the crashes are reported.
    reported: Suspicion,
    /// Expected once the crashes are in the ledger and, if `completed`, the request
    /// was answered.
    expected: Suspicion,
}

fn crash_cases() -> Vec<CrashCase> {
    vec![
        CrashCase {
            name: "no crash",
            crashes: vec![],
            completed: false,
            reported: Suspicion::Clear,
            expected: Suspicion::Clear,
        },
        CrashCase {
            name: "one crash",
            crashes: vec![("e0", 0)],
            completed: false,
            reported: Suspicion::Suspect,
            expected: Suspicion::Suspect,
        },
        CrashCase {
            name: "one crash, recorded twice",
            crashes: vec![("e0", 0), ("e0", 0)],
            completed: false,
            reported: Suspicion::Suspect,
            expected: Suspicion::Suspect,
        },
        CrashCase {
            name: "one crash, then answered",
            crashes: vec![("e0", 0)],
            completed: true,
            reported: Suspicion::Suspect,
            expected: Suspicion::Clear,
        },
        CrashCase {
            name: "two crashes of one endpoint",
            crashes: vec![("e0", 0), ("e0", 1)],
            completed: false,
            reported: Suspicion::Quarantined,
            expected: Suspicion::Quarantined,
        },
        CrashCase {
            name: "crashes of two endpoints, then answered",
            crashes: vec![("e0", 0), ("e1", 0)],
            completed: true,
            reported: Suspicion::Quarantined,
            expected: Suspicion::Quarantined,
        },
    ]
}

/// Guards against a crash that counts twice because two entries recorded it, and
/// against a request that crashes endpoints and is sent to a third one.
#[test]
fn crashes_lead_to_suspicion() {
    let fingerprint = Fingerprint(7);
    for case in crash_cases() {
        let crash = |(vm, incident): &(&str, u32)| CrashReport {
            vm: vm.parse().unwrap(),
            domain: "d0".parse().unwrap(),
            incarnation: Incarnation(1),
            incident: *incident,
            in_flight: [(RequestId(1), fingerprint)].into(),
        };
        let reports: Vec<CrashReport> = case.crashes.iter().map(crash).collect();
        let now = Instant::now();
        let mut world = entry_world();
        run(
            &mut world,
            now,
            vec![Event::ControlPage(page(0, Vec::new()))],
        );
        let crash_requests = |effects: &[Effect]| {
            let body = |effect: &Effect| match effect {
                Effect::Append(append) => serde_json::from_value(append.record.clone()).ok(),
                _ => None,
            };
            effects
                .iter()
                .filter_map(body)
                .filter(|entry: &Message| matches!(entry.body, Body::Crash(_)))
                .count()
        };
        let events: Vec<Event> = reports.iter().cloned().map(Event::Crash).collect();
        let distinct = case.crashes.iter().collect::<BTreeSet<_>>().len();
        assert_eq!(
            crash_requests(&run(&mut world, now, events.clone())),
            distinct,
            "{}",
            case.name
        );
        assert_eq!(
            crash_requests(&run(&mut world, now + SECOND, events)),
            0,
            "{}",
            case.name
        );
        // The log does not have them yet, as it may be unavailable.
        assert_eq!(
            world.quarantine.suspicion(fingerprint),
            case.reported,
            "{}: reported",
            case.name
        );
        let records = reports.into_iter().zip(0..);
        let records = records
            .map(|(report, i)| record(i, Body::Crash(report)))
            .collect();
        run(&mut world, now, vec![Event::ControlPage(page(0, records))]);
        assert!(world.unrecorded_crashes.is_empty(), "{}", case.name);
        if case.completed {
            run(&mut world, now, vec![Event::RequestAnswered(fingerprint)]);
        }
        assert_eq!(
            world.quarantine.suspicion(fingerprint),
            case.expected,
            "{}",
            case.name
        );
    }
}

/// Guards against a rollout step that passes or stops on too few ratings.
#[test]
fn rollout_steps_wait_pass_or_stop_by_ratings() {
    struct Case {
        name: &'static str,
        ratings: (f64, u32),
        prior: f64,
        expected: StepDecision,
    }
    let cases = [
        Case {
            name: "no ratings",
            ratings: (0.0, 0),
            prior: 0.8,
            expected: StepDecision::Wait,
        },
        Case {
            name: "one bad answer",
            ratings: (0.0, 1),
            prior: 0.8,
            expected: StepDecision::Wait,
        },
        Case {
            name: "bad answers",
            ratings: (0.2, 5),
            prior: 0.8,
            expected: StepDecision::Stop,
        },
        Case {
            name: "too few good answers",
            ratings: (0.9, 19),
            prior: 0.8,
            expected: StepDecision::Wait,
        },
        Case {
            name: "good answers",
            ratings: (0.9, 20),
            prior: 0.8,
            expected: StepDecision::Pass,
        },
        Case {
            name: "good answer with a low prior",
            ratings: (0.9, 1),
            prior: 0.5,
            expected: StepDecision::Wait,
        },
        Case {
            name: "good answers with a low prior",
            ratings: (0.95, 20),
            prior: 0.5,
            expected: StepDecision::Pass,
        },
    ];
    for case in cases {
        let mut ratings = Estimate::default();
        for _ in 0..case.ratings.1 {
            ratings.add(Quality::clamped(case.ratings.0));
        }
        let target = Quality::clamped(0.7);
        let outcome = StepDecision::evaluate(&ratings, Quality::clamped(case.prior), target, 20);
        assert_eq!(outcome, case.expected, "{}", case.name);
    }
}

fn config_records() -> Vec<catalog::Record> {
    let version = json!({ "version": { "model": "m", "prompt_cost": 1, "output_cost": 1, "prior_quality": 0.8 } });
    let profile =
        json!({ "profile": { "teams": [], "versions": ["old", "new"], "quality_target": 0.7 } });
    let rollout = json!({ "rollout": { "profile": "chat", "version": "new" } });
    let objects = [
        ("versions/old", version.clone()),
        ("versions/new", version),
        ("profiles/chat", profile),
        ("rollouts/r", rollout),
    ];
    let record = |((id, content), offset): ((&str, serde_json::Value), u64)| catalog::Record {
        offset: Offset(offset),
        body: Some(catalog::Body::Change(catalog::Change {
            id: ChangeId(u128::from(offset)),
            object: id.parse().unwrap(),
            base: Revision(0),
            content: Some(serde_json::from_value(content).unwrap()),
            author: "test".into(),
        })),
    };
    objects.into_iter().zip(0..).map(record).collect()
}

/// Returns a world that holds the lease with fence 0, with a rollout that is
/// loading its version.
fn holder(rows: &[(&str, &[&str])], now: Instant) -> World {
    let mut world = entry_world();
    let config = LogPage {
        first_retained: Offset(0),
        end: Offset(4),
        records: config_records(),
    };
    let mut events = endpoints(rows);
    events.push(Event::ConfigPage(config));
    events.push(Event::ControlPage(page(0, Vec::new())));
    let claim = run(&mut world, now, events)
        .into_iter()
        .find_map(|effect| match effect {
            Effect::Append(append) => serde_json::from_value::<Message>(append.record).ok(),
            _ => None,
        });
    let claim = Record {
        offset: Offset(0),
        entry: claim,
    };
    let to = RolloutTransition::Start {
        profile: "chat".parse().unwrap(),
        version: "new".parse().unwrap(),
    };
    let start = Body::Rollout {
        fence: Fence(0),
        rollout: "r".into(),
        to,
    };
    let records = page(0, vec![claim, record(1, start)]);
    let mut cx = TickCx::new(now, vec![Event::ControlPage(records)]);
    system::ledger::run(&mut world, &mut cx);
    system::lease::run(&mut world, &mut cx);
    world
}

/// Guards against a stopping lease holder that makes others wait for the lease to
/// expire, or that claims it again.
#[test]
fn planned_stop_releases_the_lease() {
    let now = Instant::now();
    let mut world = holder(&[("d0", &["old"])], now);
    let mut actions = Vec::new();
    for second in 0..30 {
        let event = if second == 0 {
            vec![Event::Stop]
        } else {
            Vec::new()
        };
        for effect in run(&mut world, now + second * SECOND, event) {
            if let Effect::Append(append) = effect
                && let Ok(entry) = serde_json::from_value::<Message>(append.record)
                && let Body::Lease { action, .. } = entry.body
            {
                actions.push((second, action));
            }
        }
    }
    assert_eq!(actions, [(0, LeaseAction::Release)]);
}

fn orders(effects: Vec<Effect>) -> Vec<String> {
    let order = |effect| match effect {
        Effect::Order { vm, action, .. } => {
            assert_eq!(action, OrderAction::Load("new".parse().unwrap()));
            Some(vm.to_string())
        }
        _ => None,
    };
    effects.into_iter().filter_map(order).collect()
}

/// Guards against more parallel loads than allowed, against a domain in which
/// all endpoints are disturbed at once, and against orders from a process whose
/// lease has expired.
#[test]
fn load_orders_spare_domains_and_end_with_the_lease() {
    struct Case {
        name: &'static str,
        rows: Vec<(&'static str, &'static [&'static str])>,
        /// Seconds after the lease was taken.
        seconds: u64,
        expected: Vec<&'static str>,
    }
    const OLD: &[&str] = &["old"];
    const BOTH: &[&str] = &["old", "new"];
    let cases = [
        Case {
            name: "two endpoints of a domain",
            rows: vec![("d0", OLD), ("d0", OLD)],
            seconds: 1,
            expected: vec!["e0"],
        },
        Case {
            name: "last endpoint of a domain without the version",
            rows: vec![("d0", BOTH), ("d0", OLD)],
            seconds: 1,
            expected: vec![],
        },
        Case {
            name: "more endpoints than parallel loads",
            rows: vec![
                ("d0", OLD),
                ("d0", OLD),
                ("d1", OLD),
                ("d1", OLD),
                ("d2", OLD),
                ("d2", OLD),
            ],
            seconds: 1,
            expected: vec!["e0", "e2"],
        },
        Case {
            name: "single endpoints of two domains",
            rows: vec![("d0", OLD), ("d1", OLD)],
            seconds: 1,
            expected: vec!["e0"],
        },
        Case {
            name: "only endpoint",
            rows: vec![("d0", OLD)],
            seconds: 1,
            expected: vec![],
        },
        Case {
            name: "paused until the lease has expired",
            rows: vec![("d0", OLD), ("d0", OLD)],
            seconds: 11,
            expected: vec![],
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut world = holder(&case.rows, now);
        world.parallel_loads = 2;
        let later = now + Duration::from_secs(case.seconds);
        let ordered = orders(run(&mut world, later, reports(&case.rows)));
        assert_eq!(ordered, case.expected, "{}", case.name);
        let again = orders(run(&mut world, later, reports(&case.rows)));
        assert!(
            again.is_empty(),
            "{}: ordered again while in progress",
            case.name
        );
        let mut events = reports(&case.rows);
        events.extend(ordered.iter().map(|vm| Event::OrderFinished {
            vm: vm.parse().unwrap(),
            action: OrderAction::Load("new".parse().unwrap()),
            done: false,
        }));
        let at_once = orders(run(&mut world, later, events));
        let pauses = ordered.iter().all(|vm| !at_once.contains(vm));
        assert!(pauses, "{}: no pause after the failure", case.name);
        // The other failed loads wait for a free slot.
        let after = later + 3 * SECOND;
        let retried = orders(run(&mut world, after, reports(&case.rows)));
        assert_eq!(retried.first(), ordered.first(), "{}", case.name);
    }
}

/// Guards against more parallel loads than the settings allow.
#[test]
fn parallel_loads_follow_the_settings() {
    struct Case {
        parallel: usize,
        expected: &'static [&'static str],
    }
    const OLD: &[&str] = &["old"];
    let cases = [
        Case {
            parallel: 1,
            expected: &["e0"],
        },
        Case {
            parallel: 2,
            expected: &["e0", "e2"],
        },
        Case {
            parallel: 9,
            expected: &["e0", "e2", "e4"],
        },
    ];
    let rows = ["d0", "d0", "d1", "d1", "d2", "d2"].map(|domain| (domain, OLD));
    for case in cases {
        let now = Instant::now();
        let mut world = holder(&rows, now);
        world.parallel_loads = case.parallel;
        let ordered = orders(run(&mut world, now + SECOND, reports(&rows)));
        assert_eq!(ordered, case.expected, "{} in parallel", case.parallel);
    }
}

/// Guards against more connections than the budget allows, against a subset in
/// one failure domain only, and against an endpoint that no entry connects to.
#[test]
fn connections_are_bounded_and_spread() {
    struct Case {
        name: &'static str,
        endpoints: usize,
        deselected: usize,
        per_domain: usize,
    }
    let cases = [
        Case {
            name: "no more endpoints than connections",
            endpoints: 24,
            deselected: 0,
            per_domain: 6,
        },
        Case {
            name: "600 endpoints",
            endpoints: 600,
            deselected: 568,
            per_domain: 8,
        },
    ];
    for case in cases {
        let domains = ["d0", "d1", "d2", "d3"];
        let rows: Vec<(&str, &[&str])> = (0..case.endpoints)
            .map(|i| (domains[i % 4], ["old"].as_slice()))
            .collect();
        let now = Instant::now();
        let mut world = entry_world();
        run(&mut world, now, endpoints(&rows));
        run(&mut world, now + 3 * SECOND, reports(&rows));
        assert_eq!(world.deselected.len(), case.deselected, "{}", case.name);
        let mut kept: BTreeMap<String, usize> = BTreeMap::new();
        for (_, row) in world.endpoints.iter().filter(|(_, row)| row.link.is_some()) {
            *kept.entry(row.domain.to_string()).or_default() += 1;
        }
        let even = kept.values().all(|count| *count == case.per_domain);
        assert!(even && kept.len() == 4, "{}: {kept:?}", case.name);
    }
}
