//! Promises, checked on what callers and endpoints have seen.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

use crate::direct::endpoint::{EVENTS, Received};
use crate::soak::callers::{BLUE, BODY, DEADLINE, Sent, Wish};
use crate::soak::fault::Over;
use crate::soak::plan::Kind;
use crate::soak::site::Node;

/// Bound on withdrawn keys, by the settings.
const REVOKE: Duration = Duration::from_secs(5);
/// Time after its deadline by which each request has its answer.
const LATE: Duration = Duration::from_millis(500);
/// Time in which a request that a closing connection has crossed is known as lost.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Runs that the routes allow.
const MAX_RUNS: [(Wish, usize); 3] = [(Wish::Hold, 1), (Wish::Look, 2), (Wish::Chat, 3)];
/// Statuses that say that a request was not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Breaches of one promise that are told.
const TOLD: usize = 3;

/// A broken promise.
#[derive(Clone, Debug)]
pub struct Breach {
    promise: &'static str,
    text: String,
}

impl Breach {
    pub const fn new(promise: &'static str, text: String) -> Self {
        Self { promise, text }
    }
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.text)
    }
}

/// The log of an entry.
#[derive(Debug)]
pub struct Log {
    text: String,
    /// Whether lines may be missing.
    has_gaps: bool,
}

impl Log {
    pub fn of(node: &Node) -> Self {
        let text = node.process.logged();
        let has_gaps = node.lost_log || text.contains("lines dropped");
        Self { text, has_gaps }
    }
}

/// All that was seen from outside.
#[derive(Debug)]
pub struct Seen {
    pub sent: Vec<Sent>,
    pub arrivals: Vec<Received>,
    pub over: Vec<Over>,
    pub logs: Vec<Log>,
    pub is_rough: bool,
}

type Arrivals<'a> = HashMap<&'a str, Vec<&'a Received>>;
type Check = fn(&Seen, &Sent, &[&Received]) -> Option<String>;

/// Each promise with what it asks of one request.
const CHECKS: [(&str, Check); 8] = [
    ("whole answers", whole_answer),
    ("true refusals", true_refusal),
    ("runs", bounded_runs),
    ("unchanged requests", unchanged),
    ("withdrawn keys", withdrawn),
    ("answers in time", in_time),
    ("planned work", planned_work),
    ("logged failures", logged),
];

/// Checks all promises.
pub fn all(seen: &Seen) -> Vec<Breach> {
    let mut arrivals: Arrivals<'_> = HashMap::new();
    for arrival in &seen.arrivals {
        let id = arrival.header("attempt-id").unwrap_or_default();
        arrivals.entry(id).or_default().push(arrival);
    }
    let mut breaches = unasked(seen, &arrivals);
    for (promise, check) in CHECKS {
        let broken = seen.sent.iter().filter_map(|sent| {
            let runs = arrivals
                .get(sent.id.as_str())
                .map_or(&[][..], Vec::as_slice);
            let text = check(seen, sent, runs)?;
            let result = sent.result.as_ref().map(|answer| answer.status);
            let took = sent.ended - sent.at;
            let text = format!(
                "{} at entry {}: {text}; {result:?} in {took:?}",
                sent.id, sent.entry
            );
            Some(Breach::new(promise, text))
        });
        breaches.extend(broken.take(TOLD));
    }
    breaches
}

/// Requests that no caller has sent.
fn unasked(seen: &Seen, arrivals: &Arrivals<'_>) -> Vec<Breach> {
    let sent: HashSet<_> = seen.sent.iter().map(|sent| sent.id.as_str()).collect();
    let foreign = arrivals
        .keys()
        .filter(|id| !sent.contains(*id) && !id.starts_with("probe-"));
    let foreign = foreign.take(TOLD);
    foreign
        .map(|id| Breach::new("unasked", (*id).to_owned()))
        .collect()
}

fn whole_answer(_: &Seen, sent: &Sent, _: &[&Received]) -> Option<String> {
    let answer = sent.result.as_ref().ok()?;
    if !(200..300).contains(&answer.status) {
        return None;
    }
    if !answer.is_signed {
        return Some("success without an endpoint's signature".into());
    }
    if answer.id.as_deref() != Some(&sent.id) {
        return Some(format!("answer to {:?}", answer.id));
    }
    let text = String::from_utf8_lossy(&answer.body);
    let is_whole = if sent.wish == Wish::Chat {
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.eq((1..=EVENTS).map(|id| id.to_string()))
    } else {
        text == format!("ran {}", sent.id)
    };
    (!is_whole).then(|| format!("not the whole answer: {text:?}"))
}

fn true_refusal(_: &Seen, sent: &Sent, arrivals: &[&Received]) -> Option<String> {
    let answer = sent.result.as_ref().ok()?;
    let has_run = arrivals.iter().any(|arrival| arrival.ran);
    (sent.wish == Wish::Hold && NOT_RUN.contains(&answer.status) && has_run)
        .then(|| "refused as not run, but has run".into())
}

fn bounded_runs(_: &Seen, sent: &Sent, arrivals: &[&Received]) -> Option<String> {
    let runs = arrivals.iter().filter(|arrival| arrival.ran).count();
    let (_, max) = MAX_RUNS.iter().find(|(wish, _)| *wish == sent.wish)?;
    (runs > *max).then(|| format!("{runs} runs"))
}

fn unchanged(_: &Seen, sent: &Sent, arrivals: &[&Received]) -> Option<String> {
    let line = format!("POST {} HTTP/1.1", sent.wish.path());
    arrivals.iter().find_map(|arrival| {
        let expected = [
            (arrival.head.lines().next(), line.as_str()),
            (arrival.header("tenant"), sent.team.0),
            (arrival.header("expect-instance"), arrival.endpoint),
        ];
        if let Some((found, _)) = expected
            .iter()
            .find(|(found, wanted)| *found != Some(*wanted))
        {
            return Some(format!("changed: {found:?} at {}", arrival.endpoint));
        }
        let is_changed = arrival.body != BODY || arrival.head.contains(sent.team.1);
        is_changed.then(|| "other body, or the key passed on".into())
    })
}

fn withdrawn(seen: &Seen, sent: &Sent, arrivals: &[&Received]) -> Option<String> {
    let over = seen
        .over
        .iter()
        .find(|over| over.kind == Kind::WithdrawKey)?;
    let is_late = sent.team == BLUE && sent.at > over.from + REVOKE;
    (is_late && arrivals.iter().any(|arrival| arrival.ran)).then(|| {
        let after = sent.at - over.from;
        format!("sent {after:?} after the key was withdrawn, and run")
    })
}

/// Whether the entry was stopped, killed, frozen or harmed in its link to
/// callers at some time in this span.
fn is_disturbed(seen: &Seen, entry: usize, from: Instant, to: Instant) -> bool {
    let kinds = [Kind::Terminate, Kind::Kill, Kind::Freeze];
    seen.over.iter().any(|over| {
        (kinds.contains(&over.kind) || over.kind.is_of_callers())
            && over.target == entry
            && over.from <= to
            && over.to >= from
    })
}

fn in_time(seen: &Seen, sent: &Sent, _: &[&Received]) -> Option<String> {
    let took = sent.ended - sent.at;
    let is_late = took > DEADLINE + LATE && !is_disturbed(seen, sent.entry, sent.at, sent.ended);
    is_late.then(|| "answered late".into())
}

/// With planned work alone, a request that was read is answered.
fn planned_work(seen: &Seen, sent: &Sent, arrivals: &[&Received]) -> Option<String> {
    if seen.is_rough || sent.gave_up {
        return None;
    }
    match &sent.result {
        Ok(answer) if answer.status >= 500 && !NOT_RUN.contains(&answer.status) => {
            Some("failed".into())
        }
        Ok(_) => None,
        Err(err) if err.is_not_sent() => None,
        Err(_) if arrivals.is_empty() && sent.ended - sent.at <= LOSS_SLACK => None,
        Err(err) => Some(format!("lost: {err}")),
    }
}

fn logged(seen: &Seen, sent: &Sent, _: &[&Received]) -> Option<String> {
    let answer = sent.result.as_ref().ok()?;
    let log = &seen.logs[sent.entry];
    let is_told = answer.status < 400 || log.has_gaps || log.text.contains(&sent.id);
    (!is_told).then(|| "no line in the log".into())
}
