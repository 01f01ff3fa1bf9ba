//! Life cycle of the lease in competing processes.

use std::time::{Duration, Instant};

use quetzalworks::ids::Incarnation;
use quetzalworks::lease::{AnyLease, Holder, Request};
use quetzalworks::ledger::{Ledger, Record};

fn holder(vm: &str) -> Holder {
    Holder {
        vm: vm.parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

/// Appends the record of a request to the ledger.
fn append(ledger: &mut Ledger, request: &Request) {
    ledger.apply(&Record {
        offset: ledger.next_offset(),
        entry: Some(request.entry.clone()),
    });
}

/// Step of process 0 or 1, which is taken at a given second after the start.
enum Step {
    /// The process observes the ledger, and its record, if any, is appended.
    Tick(usize),
    /// The process observes the ledger, and its record is held back in the network.
    HeldBack(usize),
    /// The record of the process that was held back is appended.
    Delivered(usize),
}

struct Case {
    name: &'static str,
    steps: Vec<(u64, Step)>,
    /// Second at which the authority is checked, and which of the processes has it then.
    at: u64,
    authority: [bool; 2],
}

fn cases() -> Vec<Case> {
    use Step::{Delivered, HeldBack, Tick};
    vec![
        Case {
            name: "free lease is claimed",
            steps: vec![(0, Tick(0)), (1, Tick(0)), (1, Tick(1))],
            at: 2,
            authority: [true, false],
        },
        Case {
            name: "two claims at the same time",
            steps: vec![
                (0, HeldBack(1)),
                (0, Tick(0)),
                (0, Delivered(1)),
                (1, Tick(0)),
                (1, Tick(1)),
            ],
            at: 2,
            authority: [true, false],
        },
        Case {
            name: "holder renews",
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
            name: "holder paused, no takeover yet",
            steps: vec![(0, Tick(0)), (1, Tick(0))],
            at: 10,
            authority: [false, false],
        },
        Case {
            name: "no claim before lease and grace period have expired",
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
            name: "takeover after the holder fell silent",
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
            name: "paused holder resumes after the takeover",
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
            name: "renewal delayed in the network beyond the takeover",
            steps: vec![
                (0, Tick(0)),
                (1, Tick(0)),
                (1, Tick(1)),
                (4, HeldBack(0)),
                (14, Tick(1)),
                (15, Delivered(0)),
                (15, Tick(0)),
                (15, Tick(1)),
            ],
            at: 15,
            authority: [false, true],
        },
        Case {
            name: "own claim read too late",
            steps: vec![(0, Tick(0)), (11, Tick(0))],
            at: 11,
            authority: [false, false],
        },
    ]
}

/// Guards against two processes that act as the holder at the same time, and against a
/// paused holder that acts when it resumes.
#[test]
fn at_most_one_holder() {
    use Step::{Delivered, HeldBack, Tick};
    for case in cases() {
        let start = Instant::now();
        let second = |s| start + Duration::from_secs(s);
        let mut ledger = Ledger::default();
        let mut processes = ["a", "b"].map(|vm| Some(AnyLease::new(holder(vm), start)));
        let mut held_back: [Option<Request>; 2] = [None, None];
        for (at, step) in &case.steps {
            let (Tick(i) | HeldBack(i) | Delivered(i)) = step;
            if let Delivered(_) = step {
                append(&mut ledger, &held_back[*i].take().unwrap());
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
                (_, request) => held_back[*i] = request,
            }
        }
        let authority = processes.map(|lease| lease.unwrap().authority(second(case.at)).is_some());
        assert_eq!(authority, case.authority, "{}", case.name);
    }
}
