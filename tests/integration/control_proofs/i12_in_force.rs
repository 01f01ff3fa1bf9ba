//! I12: an accepted change is in force everywhere within seconds.

use std::time::{Duration, Instant};

use quetzalworks::platform::Stream;
use quetzalworks::standin::{LogCommand, Outage};
use serde_json::json;

use crate::testing::cluster::{Cluster, Node};
use crate::testing::spec::Spec;
use crate::testing::{operator, wait};

/// Maximum time until an accepted change is in force on all processes.
const IN_FORCE_TARGET: Duration = Duration::from_secs(9);
/// Time for which a process is stopped; longer than the idle timeout of
/// connections, 2.5 s.
const STOP_DURATION: Duration = Duration::from_secs(4);

struct Case {
    name: &'static str,
    /// Runs before the change.
    before_change: fn(&Cluster),
    /// Runs after the change was accepted; the time is measured from its end.
    after_accepted: fn(&Cluster),
    /// Runs after the change is in force.
    after_in_force: fn(&Cluster),
}

/// Guards against an accepted change that does not reach a process that is cut
/// off from the log or was stopped for some time.
#[test]
fn accepted_changes_are_in_force_within_the_target() {
    let cases = [
        Case {
            name: "no fault",
            before_change: |_| {},
            after_accepted: |_| {},
            after_in_force: |_| {},
        },
        Case {
            name: "lost replies to appends",
            before_change: lose_answers,
            after_accepted: |_| {},
            after_in_force: |_| {},
        },
        Case {
            name: "only one entry has the log",
            before_change: |cluster| operator::set_log_cut(without_first(cluster), true),
            after_accepted: |_| {},
            after_in_force: |cluster| operator::set_log_cut(without_first(cluster), false),
        },
        Case {
            name: "the log fails after the change",
            before_change: |_| {},
            after_accepted: |cluster| cluster.log.control(LogCommand::Outage(Outage::Refusing)),
            after_in_force: |cluster| cluster.log.control(LogCommand::Outage(Outage::Up)),
        },
        Case {
            name: "an entry is stopped during changes",
            before_change: |cluster| cluster.entries[2].process.suspend(),
            after_accepted: change_and_thaw,
            after_in_force: |_| {},
        },
        Case {
            name: "an entry without the log is stopped during changes",
            before_change: |cluster| {
                operator::set_log_cut([&cluster.entries[2]], true);
                cluster.entries[2].process.suspend();
            },
            after_accepted: change_and_thaw,
            after_in_force: |cluster| operator::set_log_cut([&cluster.entries[2]], false),
        },
    ];
    let cluster = Cluster::start_spec(Spec {
        entries: 3,
        engines: 3,
        proxy_log: true,
        ..Spec::default()
    });
    for (case, n) in cases.iter().zip(1..) {
        (case.before_change)(&cluster);
        let members = json!({ "deadline_ms": 10_000 * n });
        operator::change(&cluster, 0, "profiles/chat", &members);
        (case.after_accepted)(&cluster);
        let last = cluster.log.records(Stream::Config).len() as u64 - 1;
        let since = Instant::now();
        wait::until(case.name, || {
            operator::all_applied(all_nodes(&cluster), last)
        });
        let took = since.elapsed();
        assert!(
            took < IN_FORCE_TARGET,
            "{}: in force after {took:?}",
            case.name
        );
        (case.after_in_force)(&cluster);
    }
}

fn all_nodes(cluster: &Cluster) -> impl Iterator<Item = &Node> {
    cluster.entries.iter().chain(&cluster.sidecars)
}

fn without_first(cluster: &Cluster) -> impl Iterator<Item = &Node> {
    all_nodes(cluster).skip(1)
}

fn lose_answers(cluster: &Cluster) {
    let (stream, count) = (Stream::Config, 2);
    cluster
        .log
        .control(LogCommand::LoseAnswers { stream, count });
}

fn change_and_thaw(cluster: &Cluster) {
    for n in 0..5_usize {
        let members = json!({ "deadline_ms": 9_000 + n });
        operator::change(cluster, n % 2, "profiles/chat", &members);
    }
    std::thread::sleep(STOP_DURATION);
    cluster.entries[2].process.resume();
}
