//! I3: a session keeps its version.

use std::sync::Mutex;

use quetzalworks::standin::{EngineCommand, Faults};
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::spec::{Spec, serving};
use crate::testing::{operator, traffic, wait};

/// Number of sessions that the test keeps open.
const SESSIONS: usize = 6;

/// Session token and version, as the caller sees them.
struct Session {
    token: String,
    version: String,
}

/// An event in the cluster while the sessions continue.
struct Case {
    name: &'static str,
    action: fn(&mut Cluster),
}

/// Guards against a session that changes its version because of a rollout
/// step, the loss of an entry, a new entry or a retry.
#[test]
fn sessions_keep_their_version() {
    let cases = [
        Case {
            name: "no fault",
            action: |_| {},
        },
        Case {
            name: "a rollout step",
            action: wait_for_step,
        },
        Case {
            name: "an entry is replaced",
            action: replace_entry,
        },
        Case {
            name: "an engine crashes",
            action: |cluster| cluster.engines[0].control(EngineCommand::Crash),
        },
        Case {
            name: "an endpoint is cut off",
            action: cut_endpoint,
        },
        Case {
            name: "a domain is out of service",
            action: |cluster| {
                operator::change(cluster, 0, "domains/domain-0", &json!({ "out": true }));
            },
        },
        Case {
            name: "the rollout completes",
            action: |cluster| {
                traffic::with_background_traffic(cluster, "chat", 4, |_| {
                    operator::wait_rollout(cluster, 0, "complete");
                });
            },
        },
    ];
    let mut cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 4,
        engine: Box::new(|_| serving(&["small-1", "small-2"])),
        proxy_peers: true,
        entry: json!({ "evidence_flush_ms": 200 }),
        ..Spec::default()
    });
    start_rollout(&cluster);
    let sessions: Vec<Mutex<Session>> = open_sessions(&cluster)
        .into_iter()
        .map(Mutex::new)
        .collect();
    for case in &cases {
        (case.action)(&mut cluster);
        for _ in 0..2 {
            for (entry, session) in (0..2).flat_map(|i| sessions.iter().map(move |s| (i, s))) {
                continue_session(&cluster, entry, &mut session.lock().unwrap(), case.name);
            }
        }
    }
    withdraw(&cluster, &sessions);
}

fn start_rollout(cluster: &Cluster) {
    let version =
        json!({ "model": "small", "prompt_cost": 50, "output_cost": 50, "prior_quality": 0.9 });
    operator::change(cluster, 0, "versions/small-2", &version);
    let steps = json!([{ "share": 0.5, "min_ratings": 10 }, { "share": 0.6, "min_ratings": 10 }]);
    let members = json!({
        "versions": ["small-1", "small-2"], "max_exposure": 400, "rollout_steps": steps,
    });
    let plan = json!({ "profile": "chat", "version": "small-2" });
    operator::change(cluster, 0, "rollouts/r", &plan);
    operator::change(cluster, 0, "profiles/chat", &members);
    operator::wait_rollout(cluster, 0, "stepping");
}

/// Opens the same number of sessions on the current and on the new version.
fn open_sessions(cluster: &Cluster) -> Vec<Session> {
    let mut sessions: Vec<Session> = Vec::new();
    wait::until("sessions on both versions", || {
        let answer = traffic::send_chat(cluster, 0, "chat", "open", None).unwrap();
        if answer.status != 200 {
            return false;
        }
        let version = answer.header("x-quetzalworks-version").unwrap().to_owned();
        let same = sessions.iter().filter(|session| session.version == version);
        if same.count() < SESSIONS / 2 {
            let token = answer.header("x-quetzalworks-session").unwrap().to_owned();
            sessions.push(Session { token, version });
        }
        sessions.len() == SESSIONS
    });
    sessions
}

/// Sends one more request of the session. Refusals are retried; the session must
/// not be moved to another version.
fn continue_session(cluster: &Cluster, entry: usize, session: &mut Session, case: &str) {
    wait::until("the session is answered", || {
        let answer = traffic::send_chat(cluster, entry, "chat", case, Some(&session.token));
        let Some(answer) = answer.filter(|answer| answer.status == 200) else {
            return false;
        };
        let version = answer.header("x-quetzalworks-version").unwrap();
        assert_eq!(version, session.version, "{case}");
        assert_eq!(
            answer.header("x-quetzalworks-session-moved"),
            None,
            "{case}"
        );
        answer
            .header("x-quetzalworks-session")
            .unwrap()
            .clone_into(&mut session.token);
        true
    });
}

fn wait_for_step(cluster: &mut Cluster) {
    let share = |cluster: &Cluster| operator::status(cluster, 0)["rollouts"][0]["share"].clone();
    traffic::with_background_traffic(cluster, "chat", 4, |_| {
        wait::until("the second step", || share(cluster) != 0.5);
    });
}

fn replace_entry(cluster: &mut Cluster) {
    cluster.entries[1].process.kill();
    let gone = cluster.entries.remove(1);
    cluster.inventory.remove(&gone.vm);
    cluster.add_entry();
    cluster.wait_until_ready();
}

fn cut_endpoint(cluster: &mut Cluster) {
    let proxy = cluster.sidecars[1].peer_proxy.as_ref();
    proxy.unwrap().set(Faults::cut());
}

/// Guards against a session that stays on a withdrawn version, or is moved
/// without the header that reports it.
fn withdraw(cluster: &Cluster, sessions: &[Mutex<Session>]) {
    let offset = operator::change(
        cluster,
        0,
        "versions/small-1",
        &json!({ "withdrawn": true }),
    );
    wait::until("the entries have the withdrawal", || {
        operator::all_applied(&cluster.entries, offset)
    });
    for session in sessions {
        let mut session = session.lock().unwrap();
        let was_withdrawn = session.version == "small-1";
        let answer = traffic::send_chat(cluster, 1, "chat", "moved", Some(&session.token)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.header("x-quetzalworks-version"), Some("small-2"));
        let expected_move = was_withdrawn.then_some("version_withdrawn");
        assert_eq!(answer.header("x-quetzalworks-session-moved"), expected_move);
        answer
            .header("x-quetzalworks-session")
            .unwrap()
            .clone_into(&mut session.token);
        "small-2".clone_into(&mut session.version);
        continue_session(cluster, 0, &mut session, "after the move");
    }
}
