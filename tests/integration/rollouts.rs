//! Rollouts by steps: when a version may serve its profile.

use std::process::Command;
use std::time::Instant;

use quetzalworks::catalog::{self, Catalog, Object, ObjectId};
use quetzalworks::control::{Effect, Event, LogPage, TickCx, World};
use quetzalworks::fleet::{Identity, NodeRole};
use quetzalworks::ids::{ChangeId, Fence, Incarnation, Offset, Revision};
use quetzalworks::ledger::{Body, Message, Record, RolloutTransition};
use quetzalworks::platform::Stream;
use quetzalworks::rollout::Progress;
use quetzalworks::system;
use serde_json::{Value, json};

use crate::testing::cluster::Cluster;
use crate::testing::isolation;

const ROLLOUT: &str = "chat-new";

fn order(version: &str) -> Object {
    serde_json::from_value(json!({ "rollout": { "profile": "chat", "version": version } })).unwrap()
}

/// Returns the configuration records of two versions, a profile and, with `rollout`, a
/// rollout of `new`.
fn config(listed: bool, rollout: bool) -> Vec<catalog::Record> {
    let version = json!({ "version": {
        "model": "m", "prompt_cost": 1, "output_cost": 1, "prior_quality": 0.8,
    }});
    let versions = if listed {
        json!(["old", "new"])
    } else {
        json!(["old"])
    };
    let profile =
        json!({ "profile": { "teams": [], "versions": versions, "quality_target": 0.7 } });
    let mut objects = vec![
        ("versions/old", version.clone()),
        ("versions/new", version),
        ("profiles/chat", profile),
    ];
    if rollout {
        let plan = json!({ "rollout": { "profile": "chat", "version": "new" } });
        objects.push(("rollouts/chat-new", plan));
    }
    let record = |((id, content), offset): ((&str, Value), u64)| catalog::Record {
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

fn start() -> RolloutTransition {
    RolloutTransition::Start {
        profile: "chat".parse().unwrap(),
        version: "new".parse().unwrap(),
    }
}

const STEPPING: &[RolloutTransition] = &[RolloutTransition::Step(0)];

fn stopped() -> Vec<RolloutTransition> {
    vec![RolloutTransition::Stop("bad".into())]
}

fn complete() -> Vec<RolloutTransition> {
    vec![RolloutTransition::Step(0), RolloutTransition::Complete]
}

fn progress(moves: &[RolloutTransition]) -> Progress {
    let begun = Progress::start("chat".parse().unwrap(), "new".parse().unwrap());
    moves
        .iter()
        .fold(begun, |row, to| row.apply(to).unwrap_or(row))
}

/// Guards against a change of a rollout that lets its version serve in full, and against a
/// rollout that cannot be created before its version is listed.
#[test]
fn changes_keep_an_unproven_version_out() {
    struct Case {
        name: &'static str,
        listed: bool,
        present: bool,
        moves: Option<Vec<RolloutTransition>>,
        object: &'static str,
        content: Option<Object>,
        refused: Option<&'static str>,
    }
    let case = |name, listed, moves, refused| Case {
        name,
        listed,
        present: true,
        moves,
        object: "rollouts/chat-new",
        content: None,
        refused,
    };
    let create = |name, moves, version, refused| Case {
        present: false,
        content: Some(order(version)),
        ..case(name, false, moves, refused)
    };
    let cases = [
        create("created before it is listed", None, "new", None),
        create("no such version", None, "none", Some("version")),
        create(
            "name of a stopped one",
            Some(stopped()),
            "new",
            Some("name"),
        ),
        create(
            "name of a complete one",
            Some(complete()),
            "new",
            Some("name"),
        ),
        create("name of another version's", Some(stopped()), "old", None),
        case("not begun, listed", true, None, Some("version")),
        case(
            "stepping, listed",
            true,
            Some(STEPPING.to_vec()),
            Some("version"),
        ),
        case("stopped, listed", true, Some(stopped()), Some("version")),
        case("stopped, unlisted", false, Some(stopped()), None),
        case("complete, listed", true, Some(complete()), None),
        Case {
            content: Some(order("old")),
            ..case(
                "other version, listed",
                true,
                Some(stopped()),
                Some("version"),
            )
        },
        Case {
            content: Some(order("new")),
            ..case("same version, listed", true, Some(stopped()), None)
        },
        Case {
            object: "versions/new",
            ..case("version of a rollout", false, None, Some("name"))
        },
    ];
    for case in cases {
        let mut present = Catalog::default();
        for record in config(case.listed, case.present) {
            present.apply(&record);
        }
        let id: ObjectId = case.object.parse().unwrap();
        let row = case.moves.as_deref().map(progress);
        let content = case.content.as_ref();
        let found = catalog::check(&present, &id, content)
            .and_then(|()| catalog::check_rollout_change(&present, &id, content, row.as_ref()));
        let field = found.err().map(|err| err.field);
        assert_eq!(field.as_deref(), case.refused, "{}", case.name);
    }
}

/// Returns a world that holds the lease and whose ledger has these moves of the rollout.
fn world(listed: bool, rollout: bool, moves: Option<&[RolloutTransition]>, now: Instant) -> World {
    let mut world = World::new(Identity {
        vm: "entry-0".parse().unwrap(),
        domain: "d0".parse().unwrap(),
        region: "region-1".parse().unwrap(),
        incarnation: Incarnation(1),
        role: NodeRole::Entry,
    });
    let config = config(listed, rollout);
    let events = vec![
        Event::ConfigPage(page(config.len(), config)),
        Event::ControlPage(page(0, Vec::new())),
    ];
    let claim = tick(&mut world, now, events)
        .into_iter()
        .find(|entry| matches!(entry.body, Body::Lease { .. }))
        .unwrap();
    let moves = moves.map(|moves| [&[start()], moves].concat());
    let moves = moves
        .unwrap_or_default()
        .into_iter()
        .map(|to| Body::Rollout {
            fence: Fence(0),
            rollout: ROLLOUT.into(),
            to,
        });
    let entries = std::iter::once(claim).chain(moves.map(Message::new));
    let control: Vec<Record> = entries
        .zip(0..)
        .map(|(entry, offset)| Record {
            offset: Offset(offset),
            entry: Some(entry),
        })
        .collect();
    let events = vec![Event::ControlPage(page(control.len(), control))];
    let mut cx = TickCx::new(now, events);
    system::ledger::run(&mut world, &mut cx);
    system::lease::run(&mut world, &mut cx);
    world
}

/// Runs the systems and returns the records that they append.
fn tick(world: &mut World, now: Instant, events: Vec<Event>) -> Vec<Message> {
    let mut cx = TickCx::new(now, events);
    for system in system::ENTRY {
        system(world, &mut cx);
    }
    let record = |effect| match effect {
        Effect::Append(append) => serde_json::from_value(append.record).ok(),
        _ => None,
    };
    cx.effects.into_iter().filter_map(record).collect()
}

fn page<R>(len: usize, records: Vec<R>) -> LogPage<R> {
    LogPage {
        first_retained: Offset(0),
        end: Offset(len as u64),
        records,
    }
}

/// Guards against a version that serves beyond its rollout: before it is listed, after a
/// stop, or without a step that admits it.
#[test]
fn the_snapshot_offers_only_listed_and_admitted_versions() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Offered {
        Not,
        InFull,
        ByStep,
    }
    struct Case {
        name: &'static str,
        listed: bool,
        rollout: bool,
        moves: Option<Vec<RolloutTransition>>,
        offered: Offered,
    }
    let case = |name, listed, moves, offered| Case {
        name,
        listed,
        rollout: true,
        moves,
        offered,
    };
    let stepping = || Some(STEPPING.to_vec());
    let cases = [
        case("not listed, not begun", false, None, Offered::Not),
        case("unlisted again", false, stepping(), Offered::Not),
        case("complete, unlisted", false, Some(complete()), Offered::Not),
        case("listed, not begun", true, None, Offered::Not),
        case("listed, loading", true, Some(Vec::new()), Offered::Not),
        case("listed, stepping", true, stepping(), Offered::ByStep),
        case("listed, stopped", true, Some(stopped()), Offered::Not),
        case("listed, complete", true, Some(complete()), Offered::InFull),
        Case {
            rollout: false,
            ..case("listed, no rollout", true, None, Offered::InFull)
        },
    ];
    for case in cases {
        let now = Instant::now();
        let world = world(case.listed, case.rollout, case.moves.as_deref(), now);
        let snapshot = system::snapshot::build(&world, now);
        let profile = &snapshot.profiles[&"chat".parse().unwrap()];
        let mut in_full = profile.versions.iter();
        let offered = if in_full.any(|view| view.name.as_str() == "new") {
            Offered::InFull
        } else if profile.rollouts.is_empty() {
            Offered::Not
        } else {
            Offered::ByStep
        };
        assert_eq!(offered, case.offered, "{}", case.name);
    }
}

/// Guards against a driver that starts a rollout before the profile lists its version, and
/// so passes its steps without traffic.
#[test]
fn the_driver_waits_until_the_version_is_listed() {
    struct Case {
        name: &'static str,
        listed: bool,
        moves: Option<Vec<RolloutTransition>>,
        requested: Option<RolloutTransition>,
    }
    let cases = [
        Case {
            name: "not listed",
            listed: false,
            moves: None,
            requested: None,
        },
        Case {
            name: "listed",
            listed: true,
            moves: None,
            requested: Some(start()),
        },
        Case {
            name: "listed, stopped",
            listed: true,
            moves: Some(stopped()),
            requested: None,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut world = world(case.listed, true, case.moves.as_deref(), now);
        let found = tick(&mut world, now, Vec::new())
            .into_iter()
            .find_map(|entry| match entry.body {
                Body::Rollout { to, .. } => Some(to),
                _ => None,
            });
        assert_eq!(found, case.requested, "{}", case.name);
    }
}

fn tool(cluster: &Cluster, args: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_quetzalworks"))
        .args(args)
        .env("QUETZALWORKS_SERVER", cluster.entry_addr(0).to_string())
        .env("QUETZALWORKS_TOKEN", &cluster.operator_token)
        .output()
        .unwrap();
    let text = [out.stdout, out.stderr].concat();
    (
        out.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

/// Guards against a tool that lists a version before its rollout exists, or deletes the
/// rollout while the version is listed.
#[test]
fn the_tool_never_exposes_a_version_in_full() {
    struct Case {
        args: &'static [&'static str],
        exit: i32,
        output: &'static str,
        /// Objects changed by the command, in order.
        changed: &'static [&'static str],
    }
    const START: &[&str] = &[
        "rollout",
        "start",
        "r",
        "--profile",
        "chat",
        "--version",
        "new-1",
    ];
    let case = |args, exit, output, changed| Case {
        args,
        exit,
        output,
        changed,
    };
    let cases = [
        case(START, 0, "accepted", &["rollouts/r", "profiles/chat"]),
        case(&["--json", "status"], 0, "\"state\":\"loading\"", &[]),
        case(START, 3, "3002", &[]),
        case(&["delete", "rollouts", "r"], 1, "unlist", &[]),
        case(&["delete", "versions", "new-1"], 1, "uses", &[]),
        case(
            &["rollout", "stop", "r"],
            0,
            "accepted",
            &["profiles/chat", "rollouts/r"],
        ),
    ];
    let cluster = Cluster::start(1, 1);
    let file = isolation::create_test_dir().join("version.json");
    let version = json!({ "model": "m", "prompt_cost": 1, "output_cost": 1, "prior_quality": 0.8 });
    std::fs::write(&file, version.to_string()).unwrap();
    let file = file.to_str().unwrap();
    let (exit, text) = tool(&cluster, &["publish", "new-1", "--file", file]);
    assert_eq!(exit, Some(0), "{text}");
    for case in cases {
        let before = cluster.log.records(Stream::Config).len();
        let (exit, text) = tool(&cluster, case.args);
        assert_eq!(exit, Some(case.exit), "{:?}: {text}", case.args);
        assert!(text.contains(case.output), "{:?}: {text}", case.args);
        let records = cluster.log.records(Stream::Config);
        let changed: Vec<&str> = records[before..]
            .iter()
            .filter_map(|record| record.pointer("/change/object")?.as_str())
            .collect();
        assert_eq!(changed, case.changed, "{:?}", case.args);
    }
}

/// Guards against a watch that ends before its roll-out does, or never.
#[test]
fn the_tool_watches_a_rollout_to_its_end() {
    let cluster = Cluster::start(1, 1);
    let dir = isolation::create_test_dir();
    let file = |name: &str, content: Value| {
        let file = dir.join(name);
        std::fs::write(&file, content.to_string()).unwrap();
        file.to_str().unwrap().to_owned()
    };
    let version = file(
        "version.json",
        json!({ "model": "m", "prompt_cost": 1, "output_cost": 1, "prior_quality": 0.8 }),
    );
    let profile = file(
        "profile.json",
        json!({
            "teams": ["red"],
            "versions": ["other-1"],
            "quality_target": 0.5,
            "rollout_steps": [{ "share": 0.1, "min_ratings": 0 }, { "share": 0.5, "min_ratings": 0 }],
        }),
    );
    let steps: [&[&str]; 4] = [
        &["publish", "other-1", "--file", &version],
        &["put", "profiles", "trial", "--file", &profile],
        &[
            "rollout",
            "start",
            "r",
            "--profile",
            "trial",
            "--version",
            "small-1",
        ],
        &["watch", "rollout", "r"],
    ];
    let outputs = steps.map(|args| {
        let (exit, text) = tool(&cluster, args);
        assert_eq!(exit, Some(0), "{args:?}: {text}");
        text
    });
    let last = outputs[3].lines().last().unwrap_or_default();
    assert!(last.starts_with("r: complete"), "{}", outputs[3]);
}
