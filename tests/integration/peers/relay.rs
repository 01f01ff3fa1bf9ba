//! What a reader keeps and passes on, with its age.

use std::time::Duration;

use quetzalworks::direct::{EndpointChange, EndpointRecord, Source};
use quetzalworks::ids::{EndpointId, Offset, Position, StoreEra};
use quetzalworks::peers::{Poll, PollAnswer, RelayLog, RelayRecord, RelayedPage};
use quetzalworks::runtime::Moment;
use quetzalworks::units::Millis;

use crate::direct::world::{entry, position, record};

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn raw(offset: u64) -> RelayRecord {
    RelayRecord {
        offset: Offset(offset),
        key: format!("key-{offset}").into(),
        value: Some(vec![7; 10]),
    }
}

fn poll(from: u64, seen: u64) -> Poll {
    Poll {
        source: Source::Endpoints,
        from: position(from),
        seen,
    }
}

/// Position after the store has come back from a copy.
fn next_era(offset: u64) -> Position {
    Position {
        era: StoreEra(1),
        offset: Offset(offset),
    }
}

/// A log whose listing ended at 5, followed by records 5 to 7 read from 200 ms on.
fn log() -> RelayLog {
    let mut log = RelayLog::default();
    log.restart(position(5), Some(at(0)));
    let records = (5..8).map(|offset| (raw(offset), None));
    log.append(records, position(5), Offset(8), Some(at(200)));
    log
}

/// Guards against records that a follower never gets, as their offsets were given out before.
#[test]
fn a_reader_answers_only_positions_of_its_era() {
    struct Case {
        name: &'static str,
        /// Whether the reader knows that the store has come back from a copy.
        is_restored: bool,
        from: Position,
        is_answered: bool,
    }
    let case = |name, is_restored, from, is_answered| Case {
        name,
        is_restored,
        from,
        is_answered,
    };
    let cases = [
        case("neither knows of the return", false, position(8), true),
        case("only the reader does", true, position(8), false),
        case("only the follower does", false, next_era(8), false),
        case("both do", true, next_era(8), true),
    ];
    for case in cases {
        let mut log = log();
        if case.is_restored {
            log.restart(next_era(2), Some(at(300)));
            let records = (2..9).map(|offset| (raw(offset), None));
            log.append(records, next_era(2), Offset(9), Some(at(400)));
        }
        let poll = Poll {
            from: case.from,
            ..poll(0, 0)
        };
        let answer = log.answer(&poll, at(500), at(500));
        let is_answered = matches!(answer, Some(PollAnswer::Page(_)));
        assert_eq!(is_answered, case.is_answered, "{}: {answer:?}", case.name);
    }
}

/// Guards against records that a follower lacks and is not given, against old pages, and
/// against answers of an entry that does not read or cannot.
#[test]
fn a_reader_answers_with_what_the_follower_lacks() {
    #[derive(Debug, PartialEq)]
    enum Answer {
        Waits,
        Offsets(Vec<u64>),
        Other(PollAnswer),
    }
    struct Case {
        name: &'static str,
        change: fn(&mut RelayLog),
        poll: Poll,
        answer: Answer,
    }
    let case = |name, change, poll, answer| Case {
        name,
        change,
        poll,
        answer,
    };
    let offsets = |offsets: &[u64]| Answer::Offsets(offsets.to_vec());
    let cases = [
        case("all", |_| (), poll(5, 0), offsets(&[5, 6, 7])),
        case("some", |_| (), poll(7, 0), offsets(&[7])),
        case("none, but a confirmation", |_| (), poll(8, 1), offsets(&[])),
        case("nothing new", |_| (), poll(8, 2), Answer::Waits),
        case("the follower is ahead", |_| (), poll(20, 0), offsets(&[])),
        case(
            "older than the log",
            |_| (),
            poll(4, 0),
            Answer::Other(PollAnswer::NotRetained),
        ),
        case(
            "the store is lost",
            RelayLog::fail,
            poll(8, 2),
            Answer::Other(PollAnswer::StoreLost),
        ),
        case(
            "the store is regained",
            |log| {
                log.fail();
                log.append([(raw(8), None)], position(8), Offset(9), Some(at(400)));
            },
            poll(7, 2),
            offsets(&[7, 8]),
        ),
        case(
            "no reader any more",
            RelayLog::stop,
            poll(8, 2),
            Answer::Other(PollAnswer::NotReading),
        ),
        case(
            "listed again",
            |log| log.restart(position(30), Some(at(500))),
            poll(8, 2),
            Answer::Other(PollAnswer::NotRetained),
        ),
        case(
            "a read that does not continue the log",
            |log| log.append([(raw(40), None)], position(40), Offset(41), Some(at(500))),
            poll(8, 2),
            Answer::Other(PollAnswer::NotRetained),
        ),
        case(
            "reads for others again",
            |log| {
                log.stop();
                log.append([(raw(8), None)], position(8), Offset(9), Some(at(600)));
            },
            poll(8, 2),
            offsets(&[8]),
        ),
    ];
    for case in cases {
        let mut log = log();
        (case.change)(&mut log);
        let answer = match log.answer(&case.poll, at(900), at(1_000)) {
            None => Answer::Waits,
            Some(PollAnswer::Page(page)) => {
                Answer::Offsets(page.records.iter().map(|record| record.offset.0).collect())
            }
            Some(other) => Answer::Other(other),
        };
        assert_eq!(answer, case.answer, "{}", case.name);
    }
}

fn seen(change: fn(&mut EndpointRecord)) -> EndpointChange {
    let mut record = record("e", &entry("desk", "v1", 1));
    change(&mut record);
    EndpointChange::Seen(record)
}

/// Guards against reports that cost a record at each follower although they tell nothing
/// new, and against news that is left out.
#[test]
fn reports_that_tell_nothing_new_are_left_out() {
    struct Case {
        name: &'static str,
        /// The second report, after one with the sequence number 1.
        second: EndpointChange,
        is_passed_on: bool,
    }
    let case = |name, second, is_passed_on| Case {
        name,
        second,
        is_passed_on,
    };
    let gone: EndpointId = "e".parse().unwrap();
    let cases = [
        case("only the number", seen(|record| record.sequence = 2), false),
        case("draining", seen(|record| record.draining = true), true),
        case("slots", seen(|record| record.slots = 9), true),
        case(
            "cold",
            seen(|record| record.cold_left = Millis(1_000)),
            true,
        ),
        case(
            "a new start",
            seen(|record| record.started = Millis(9)),
            true,
        ),
        case("removed", EndpointChange::Removed(gone.clone()), true),
        case("unusable", EndpointChange::Unusable(gone), true),
    ];
    for case in cases {
        let mut log = RelayLog::default();
        log.restart(position(0), Some(at(0)));
        let again = case.second.clone();
        let changes = [
            seen(|_| ()),
            case.second,
            again,
            seen(|record| record.sequence = 3),
        ];
        let is_cold = matches!(&changes[2], EndpointChange::Seen(record) if record.cold_left.0 > 0);
        let is_gone = !matches!(&changes[2], EndpointChange::Seen(_));
        let records = (0..).map(raw).zip(changes.map(Some));
        log.append(records, position(0), Offset(4), Some(at(0)));
        let Some(PollAnswer::Page(page)) = log.answer(&poll(0, 0), at(1), at(1)) else {
            panic!("{}: no page", case.name);
        };
        let offsets: Vec<_> = page.records.iter().map(|record| record.offset.0).collect();
        assert!(offsets.contains(&0), "{}", case.name);
        assert_eq!(offsets.contains(&1), case.is_passed_on, "{}", case.name);
        // A repetition is news only where time itself matters.
        assert_eq!(offsets.contains(&2), is_cold || is_gone, "{}", case.name);
        // The change back is news again.
        assert_eq!(offsets.contains(&3), case.is_passed_on, "{}", case.name);
        assert_eq!(page.end, Offset(4), "{}", case.name);
    }
}

/// Guards against unbounded memory of a reader, and against a gap in what it passes on.
#[test]
fn the_oldest_records_are_dropped_and_not_skipped() {
    let mut log = RelayLog::default();
    log.restart(position(0), Some(at(0)));
    let large = |offset| RelayRecord {
        value: Some(vec![0; 60_000]),
        ..raw(offset)
    };
    for offset in 0..100 {
        let next = Offset(offset + 1);
        log.append(
            [(large(offset), None)],
            position(offset),
            next,
            Some(at(offset)),
        );
    }
    let answer = |from| log.answer(&poll(from, 0), at(200), at(200));
    assert_eq!(answer(0), Some(PollAnswer::NotRetained));
    let first = (0..100).find(|from| answer(*from) != Some(PollAnswer::NotRetained));
    let first = first.unwrap();
    let Some(PollAnswer::Page(page)) = answer(first) else {
        panic!("no page");
    };
    let offsets: Vec<_> = page.records.iter().map(|record| record.offset.0).collect();
    assert_eq!(offsets, (first..100).collect::<Vec<_>>());
    assert!((4..=10).contains(&offsets.len()), "{}", offsets.len());
}

/// Guards against a follower that takes what it is told for newer than the read of the
/// store: with clocks that differ, messages that take time and a reader that is frozen at
/// any point.
#[test]
fn what_a_follower_knows_is_never_taken_for_newer_than_the_read() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..20_000 {
        // Microseconds on a clock that neither VM has.
        let read_started = 1_000_000_000 + rng.u64(0..1_000_000);
        let asked = 1_000_000_000 + rng.u64(0..1_000_000);
        let arrived = asked + rng.u64(0..5_000_000);
        let answered = arrived.max(read_started) + rng.u64(0..5_000_000);
        let (reader, follower) = (rng.u64(0..1 << 40), rng.u64(0..1 << 40));
        let on = |clock: u64, time: u64| {
            Moment::default().saturating_add(Duration::from_micros(clock + time))
        };
        let mut log = RelayLog::default();
        log.restart(position(0), Some(on(reader, read_started)));
        let answer = log.answer(&poll(0, 0), on(reader, arrived), on(reader, answered));
        let Some(PollAnswer::Page(page)) = answer else {
            panic!("no page");
        };
        let known = page.read_started(on(follower, asked));
        let truth = on(follower, read_started);
        assert!(known <= truth, "{known} of {truth}: {page:?}");
        // Not needlessly old either: by the way of the poll, and rounding.
        let slack = Duration::from_micros(arrived - asked) + Duration::from_millis(5);
        assert!(
            known.saturating_add(slack) >= truth,
            "{known} of {truth}: {page:?}"
        );
    }
}

/// Guards against ages that underflow on a VM that has just started.
#[test]
fn an_age_beyond_the_start_of_the_clock_is_the_oldest_time() {
    let page = RelayedPage {
        records: Vec::new(),
        end: Offset(0),
        number: 1,
        held: Millis(10),
        age: Millis(60_000),
    };
    assert_eq!(
        page.read_started(Moment::from_millis(500)),
        Moment::default()
    );
}

/// Guards against a configuration that counts as confirmed by a page which lacks a part of it.
#[test]
fn a_page_that_ends_too_early_confirms_nothing() {
    struct Case {
        name: &'static str,
        from: u64,
        known: u64,
        confirmed: u64,
    }
    let case = |name, from, known, confirmed| Case {
        name,
        from,
        known,
        confirmed,
    };
    // The page ends at 8; its read began 601 ms before the answer, rounded up.
    let (asked, newer) = (at(809), 208);
    let cases = [
        case("ends behind the position", 7, 50, newer),
        case("ends at the position", 8, 50, newer),
        case("ends before the position", 9, 50, 50),
        case("ends far before the position", 500, 50, 50),
        case("ends before the position, known later", 9, 700, newer),
    ];
    for case in cases {
        let answer = log().answer(&poll(case.from, 0), at(800), at(800));
        let Some(PollAnswer::Page(page)) = answer else {
            panic!("{}: {answer:?}", case.name);
        };
        let confirmed = page.confirmed(Offset(case.from), asked, at(case.known));
        assert_eq!(confirmed, at(case.confirmed), "{}", case.name);
    }
}

/// Guards against a withdrawn key that followers accept, as their reader has not read as far.
#[test]
fn a_read_that_may_lack_records_confirms_nothing() {
    struct Case {
        name: &'static str,
        change: fn(&mut RelayLog),
        /// Record of a read that follows and ends early; `None` without one.
        offset: Option<u64>,
        /// Time as of which the page confirms its records, and their number; `None` if the
        /// reader answers that it does not read for others.
        page: Option<(u64, usize)>,
    }
    fn append(log: &mut RelayLog, offset: u64, confirmed: Option<Moment>) {
        let next = Offset(offset + 1);
        log.append([(raw(offset), None)], position(offset), next, confirmed);
    }
    let case = |name, change, offset, page| Case {
        name,
        change,
        offset,
        page,
    };
    let late = |log: &mut RelayLog| {
        append(log, 8, None);
        append(log, 9, Some(at(500)));
    };
    let cases = [
        case("goes on", |_| (), Some(8), Some((200, 4))),
        case(
            "after one that did not",
            |log| append(log, 8, Some(at(400))),
            Some(9),
            Some((400, 5)),
        ),
        case(
            "after others that did and did not",
            late,
            Some(10),
            Some((500, 6)),
        ),
        case("after an outage", RelayLog::fail, Some(8), Some((200, 4))),
        case("as the first for others", RelayLog::stop, Some(8), None),
        case(
            "after a listing of a copy",
            |log| log.restart(position(5), None),
            Some(5),
            None,
        ),
        case(
            "none, the last one reached the end",
            |log| append(log, 8, Some(at(400))),
            None,
            Some((400, 4)),
        ),
        case(
            "none, the last one did after others",
            late,
            None,
            Some((500, 5)),
        ),
        case(
            "none, a listing of a copy",
            |log| log.restart(position(5), None),
            None,
            None,
        ),
        case(
            "none, the end is reached after a listing of a copy",
            |log| {
                log.restart(position(5), None);
                append(log, 5, Some(at(600)));
            },
            None,
            Some((600, 1)),
        ),
    ];
    for case in cases {
        let mut log = log();
        (case.change)(&mut log);
        if let Some(offset) = case.offset {
            append(&mut log, offset, None);
        }
        let page = match log.answer(&poll(5, 0), at(900), at(900)) {
            Some(PollAnswer::Page(page)) => {
                // The age is rounded up by a millisecond.
                let confirmed = page.read_started(at(901));
                Some((confirmed, page.records.len()))
            }
            Some(PollAnswer::NotReading) => None,
            other => panic!("{}: {other:?}", case.name),
        };
        let expected = case.page.map(|(time, records)| (at(time), records));
        assert_eq!(page, expected, "{}", case.name);
    }
}
