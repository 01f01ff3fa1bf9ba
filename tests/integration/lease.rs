//! The lease as one process sees it.

use std::time::{Duration, Instant};

use quetzalworks::ids::Incarnation;
use quetzalworks::lease::{Any, Holder, Request};
use quetzalworks::ledger::{Ledger, Record};

fn holder(vm: &str) -> Holder {
    Holder {
        vm: vm.parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

/// Appends a request's record as the next of the stream.
fn append(ledger: &mut Ledger, request: &Request) {
    ledger.apply(&Record {
        offset: ledger.next_offset(),
        entry: Some(request.entry.clone()),
    });
}

/// What happens to two processes, `a` and `b`, at a second after the start.
enum Step {
    /// The process looks at the ledger and its record, if any, is appended.
    Tick(usize),
    /// The same, but its record is lost.
    Lost(usize),
    /// A record of the process that waited in the network is appended.
    Late(usize),
}

struct Case {
    name: &'static str,
    steps: Vec<(u64, Step)>,
    /// Second at which authority is looked at, and who has it then.
    at: u64,
    authority: [bool; 2],
}

fn cases() -> Vec<Case> {
    use Step::{Late, Lost, Tick};
    vec![
        Case {
            name: "claim of a free lease",
            steps: vec![(0, Tick(0)), (1, Tick(0)), (1, Tick(1))],
            at: 2,
            authority: [true, false],
        },
        Case {
            name: "race of two claims",
            steps: vec![
                (0, Lost(1)),
                (0, Tick(0)),
                (0, Late(1)),
                (1, Tick(0)),
                (1, Tick(1)),
            ],
            at: 2,
            authority: [true, false],
        },
        Case {
            name: "renewed holder",
            steps: vec![
                (0, Tick(0)),
                (1, Tick(0)),
                (4, Tick(0)),
                (5, Tick(0)),
                (8, Tick(0)),
                (9, Tick(0)),
                (13, Tick(1)),
            ],
            at: 14,
            authority: [true, false],
        },
        Case {
            name: "holder paused before anybody took over",
            steps: vec![(0, Tick(0)), (1, Tick(0))],
            at: 10,
            authority: [false, false],
        },
        Case {
            name: "no claim before the lease and its grace have passed",
            steps: vec![
                (0, Tick(0)),
                (1, Tick(0)),
                (1, Tick(1)),
                (12, Tick(1)),
                (12, Tick(1)),
            ],
            at: 12,
            authority: [false, false],
        },
        Case {
            name: "takeover after silence",
            steps: vec![
                (0, Tick(0)),
                (1, Tick(0)),
                (1, Tick(1)),
                (14, Tick(1)),
                (14, Tick(1)),
            ],
            at: 15,
            authority: [false, true],
        },
        Case {
            name: "paused holder wakes after the takeover",
            steps: vec![
                (0, Tick(0)),
                (1, Tick(0)),
                (1, Tick(1)),
                (14, Tick(1)),
                (15, Tick(1)),
                (15, Tick(0)),
            ],
            at: 15,
            authority: [false, true],
        },
        Case {
            name: "renewal that waited in the network while another took over",
            steps: vec![
                (0, Tick(0)),
                (1, Tick(0)),
                (1, Tick(1)),
                (4, Lost(0)),
                (14, Tick(1)),
                (15, Late(0)),
                (15, Tick(0)),
                (15, Tick(1)),
            ],
            at: 15,
            authority: [false, true],
        },
        Case {
            name: "own claim read back too late",
            steps: vec![(0, Tick(0)), (11, Tick(0))],
            at: 11,
            authority: [false, false],
        },
    ]
}

/// Guards against two processes that act as the holder at the same time and
/// against a paused holder that acts on waking.
#[test]
fn at_most_one_holder() {
    use Step::{Late, Lost, Tick};
    for case in cases() {
        let start = Instant::now();
        let second = |s| start + Duration::from_secs(s);
        let mut ledger = Ledger::default();
        let mut processes = ["a", "b"].map(|vm| Some(Any::new(holder(vm), start)));
        let mut late: [Option<Request>; 2] = [None, None];
        for (at, step) in &case.steps {
            let (Tick(i) | Lost(i) | Late(i)) = step;
            if let Late(_) = step {
                append(&mut ledger, &late[*i].take().unwrap());
                continue;
            }
            let row = ledger.state().lease.clone();
            let mut lease = processes[*i]
                .take()
                .unwrap()
                .observe(row.as_ref(), second(*at));
            let request = lease.request(row.as_ref(), second(*at));
            processes[*i] = Some(lease);
            match (step, request) {
                (Tick(_), Some(request)) => append(&mut ledger, &request),
                (_, request) => late[*i] = request,
            }
        }
        let authority = processes.map(|lease| lease.unwrap().authority(second(case.at)).is_some());
        assert_eq!(authority, case.authority, "{}", case.name);
    }
}
