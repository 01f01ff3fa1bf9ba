//! Which connections are closed when memory or descriptors run short.

use std::time::Duration;

use quetzalworks::http::eviction::{self, Activity, Candidate};
use quetzalworks::units::Bytes;

/// Activity, bytes held and milliseconds without progress.
type Row = (Activity, u64, u64);

fn candidates(rows: &[Row]) -> impl Iterator<Item = Candidate<usize>> {
    rows.iter()
        .enumerate()
        .map(|(key, (activity, held, stalled))| Candidate {
            key,
            activity: *activity,
            held: Bytes(*held),
            stalled: Duration::from_millis(*stalled),
        })
}

/// Guards against a crowd that keeps the memory, and against closing those that progress.
#[test]
fn memory_is_freed_by_those_that_hold_most_for_longest() {
    struct Case {
        name: &'static str,
        rows: &'static [Row],
        need: u64,
        target: u64,
        chosen: &'static [usize],
    }
    use Activity::{Body, Busy, Head, Idle, Unread};
    let cases = [
        Case {
            name: "most held for longest",
            rows: &[(Body, 10, 2_000), (Body, 100, 2_000), (Head, 10, 30_000)],
            need: 5,
            target: 5,
            chosen: &[2],
        },
        Case {
            name: "as many as are needed",
            rows: &[(Body, 50, 2_000), (Body, 60, 2_000), (Body, 70, 2_000)],
            need: 100,
            target: 10,
            chosen: &[2, 1],
        },
        Case {
            name: "more at a time, for those who come next",
            rows: &[(Body, 50, 2_000), (Body, 60, 2_000), (Body, 70, 2_000)],
            need: 10,
            target: 100,
            chosen: &[2, 1],
        },
        Case {
            name: "none that progresses or was received completely",
            rows: &[(Body, 100, 900), (Head, 100, 0), (Busy, 100, 60_000)],
            need: 10,
            target: 10,
            chosen: &[],
        },
        Case {
            name: "an answer that is not read, only after longer",
            rows: &[(Unread, 100, 4_900), (Unread, 10, 5_000)],
            need: 10,
            target: 10,
            chosen: &[1],
        },
        Case {
            name: "idle ones after stalled ones",
            rows: &[(Idle, 100, 60_000), (Body, 10, 1_000), (Idle, 100, 500)],
            need: 50,
            target: 50,
            chosen: &[1, 0],
        },
        Case {
            name: "none if all together are too little",
            rows: &[(Body, 10, 2_000), (Idle, 10, 2_000)],
            need: 100,
            target: 10,
            chosen: &[],
        },
    ];
    for case in cases {
        let (need, target) = (Bytes(case.need), Bytes(case.target));
        let chosen = eviction::for_memory(candidates(case.rows), need, target);
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

/// Guards against new connections that are dropped while others do nothing.
#[test]
fn a_new_connection_replaces_the_longest_idle_or_stalled() {
    struct Case {
        name: &'static str,
        rows: &'static [Row],
        chosen: Option<usize>,
    }
    use Activity::{Body, Busy, Head, Idle};
    let cases = [
        Case {
            name: "the longest idle",
            rows: &[(Idle, 1, 10), (Idle, 1, 20), (Busy, 1, 90_000)],
            chosen: Some(1),
        },
        Case {
            name: "a stalled one",
            rows: &[(Head, 1, 3_000), (Body, 1, 2_000), (Idle, 1, 1_000)],
            chosen: Some(0),
        },
        Case {
            name: "none while all progress",
            rows: &[(Head, 1, 900), (Body, 1, 900), (Busy, 1, 60_000)],
            chosen: None,
        },
    ];
    for case in cases {
        let chosen = eviction::for_connection(candidates(case.rows));
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}
