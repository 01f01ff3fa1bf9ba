//! Checks of the guarantees against what callers and endpoints observed.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

use crate::direct::endpoint::{EVENTS, Received};
use crate::soak::callers::{BLUE, BODY, DEADLINE, RequestKind, Sent};
use crate::soak::fault::EndedFault;
use crate::soak::plan::FaultKind;
use crate::soak::site::Node;

/// Time after which a withdrawn key must be refused, by the settings.
const MAX_REVOCATION_DELAY: Duration = Duration::from_secs(5);
/// Time after a request's deadline by which it must be answered.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);
/// Time within which a caller learns that its request was lost because it
/// crossed the close of its connection.
const LOSS_NOTICE_TOLERANCE: Duration = Duration::from_millis(200);
/// Maximum of attempts that each route allows.
const MAX_ATTEMPTS: [(RequestKind, usize); 3] = [
    (RequestKind::Hold, 1),
    (RequestKind::Look, 2),
    (RequestKind::Chat, 3),
];
/// Statuses that state that no endpoint ran the request.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Maximum of reported violations per guarantee.
const MAX_REPORTED: usize = 3;

/// A violated guarantee, with the observation that shows it.
#[derive(Clone, Debug)]
pub struct Violation {
    guarantee: &'static str,
    text: String,
}

impl Violation {
    pub const fn new(guarantee: &'static str, text: String) -> Self {
        Self { guarantee, text }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.text)
    }
}

/// Log of an entry over all its restarts.
#[derive(Debug)]
pub struct Log {
    text: String,
    /// Whether lines may be missing, after a kill or because the entry dropped some.
    has_gaps: bool,
}

impl Log {
    pub fn of(node: &Node) -> Self {
        let text = node.process.logged();
        let has_gaps = node.is_log_incomplete || text.contains("lines dropped");
        Self { text, has_gaps }
    }
}

/// Everything observed from outside the processes.
#[derive(Debug)]
pub struct Observations {
    /// Requests as observed by their callers.
    pub sent: Vec<Sent>,
    /// Requests as received by the endpoints.
    pub arrivals: Vec<Received>,
    /// All faults of the soak, which have ended by now.
    pub ended_faults: Vec<EndedFault>,
    /// Logs by index of the entry.
    pub logs: Vec<Log>,
    /// Whether there were unplanned faults.
    pub has_unplanned_faults: bool,
}

type Arrivals<'a> = HashMap<&'a str, Vec<&'a Received>>;
type Check = fn(&Observations, &Sent, &[&Received]) -> Option<String>;

/// Name of each guarantee, and its check of one request; a check returns the
/// violation, or `None` if the guarantee holds.
const CHECKS: [(&str, Check); 8] = [
    ("complete answers", complete_answer),
    ("accurate refusals", accurate_refusal),
    ("bounded attempts", bounded_attempts),
    ("unchanged requests", unchanged),
    ("withdrawn keys", withdrawn_key),
    ("answers in time", in_time),
    ("no loss in planned work", planned_work),
    ("logged failures", failure_is_logged),
];

/// Checks all guarantees; returns the violations.
pub fn all(observed: &Observations) -> Vec<Violation> {
    let mut arrivals: Arrivals<'_> = HashMap::new();
    for arrival in &observed.arrivals {
        let id = arrival.header("attempt-id").unwrap_or_default();
        arrivals.entry(id).or_default().push(arrival);
    }
    let mut violations = unknown_requests(observed, &arrivals);
    for (guarantee, check) in CHECKS {
        let found = observed.sent.iter().filter_map(|sent| {
            let received = arrivals
                .get(sent.id.as_str())
                .map_or(&[][..], Vec::as_slice);
            let text = check(observed, sent, received)?;
            let result = sent.result.as_ref().map(|answer| answer.status);
            let took = sent.ended - sent.at;
            let text = format!(
                "{} at entry {}: {text}; {result:?} in {took:?}",
                sent.id, sent.entry
            );
            Some(Violation::new(guarantee, text))
        });
        violations.extend(found.take(MAX_REPORTED));
    }
    violations
}

/// Returns violations for received requests that no caller sent; probes excepted.
fn unknown_requests(observed: &Observations, arrivals: &Arrivals<'_>) -> Vec<Violation> {
    let sent: HashSet<_> = observed.sent.iter().map(|sent| sent.id.as_str()).collect();
    let foreign = arrivals
        .keys()
        .filter(|id| !sent.contains(*id) && !id.starts_with("probe-"));
    let foreign = foreign.take(MAX_REPORTED);
    foreign
        .map(|id| Violation::new("unknown requests", (*id).to_owned()))
        .collect()
}

/// A success is signed, belongs to the request and is complete.
fn complete_answer(_: &Observations, sent: &Sent, _: &[&Received]) -> Option<String> {
    let answer = sent.result.as_ref().ok()?;
    if !(200..300).contains(&answer.status) {
        return None;
    }
    if !answer.is_signed {
        return Some("success without an endpoint's signature".into());
    }
    if answer.id.as_deref() != Some(&sent.id) {
        return Some(format!("answer to another request: {:?}", answer.id));
    }
    let text = String::from_utf8_lossy(&answer.body);
    let is_complete = if sent.kind == RequestKind::Chat {
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.eq((1..=EVENTS).map(|id| id.to_string()))
    } else {
        text == format!("ran {}", sent.id)
    };
    (!is_complete).then(|| format!("incomplete answer: {text:?}"))
}

/// A call that may run once is not refused as not run after it has run.
fn accurate_refusal(_: &Observations, sent: &Sent, arrivals: &[&Received]) -> Option<String> {
    let answer = sent.result.as_ref().ok()?;
    let has_run = arrivals.iter().any(|arrival| arrival.executed);
    (sent.kind == RequestKind::Hold && NOT_RUN.contains(&answer.status) && has_run)
        .then(|| "refused as not run, but an endpoint ran it".into())
}

/// A request runs at most as often as its route allows.
fn bounded_attempts(_: &Observations, sent: &Sent, arrivals: &[&Received]) -> Option<String> {
    let attempts = arrivals.iter().filter(|arrival| arrival.executed).count();
    let (_, max) = MAX_ATTEMPTS.iter().find(|(kind, _)| *kind == sent.kind)?;
    (attempts > *max).then(|| format!("{attempts} attempts, maximum {max}"))
}

/// Endpoints receive the request as it was sent, without the team's key.
fn unchanged(_: &Observations, sent: &Sent, arrivals: &[&Received]) -> Option<String> {
    let line = format!("POST {} HTTP/1.1", sent.kind.path());
    arrivals.iter().find_map(|arrival| {
        let expected = [
            (arrival.head.lines().next(), line.as_str()),
            (arrival.header("tenant"), sent.team.0),
            (arrival.header("expect-instance"), arrival.endpoint),
        ];
        if let Some((found, _)) = expected
            .iter()
            .find(|(found, expected_value)| *found != Some(*expected_value))
        {
            return Some(format!(
                "changed request line or header {found:?} at {}",
                arrival.endpoint
            ));
        }
        let is_changed = arrival.body != BODY || arrival.head.contains(sent.team.1);
        is_changed.then(|| "body changed, or key forwarded to the endpoint".into())
    })
}

/// A withdrawn key is refused once the settings' time for it has passed.
fn withdrawn_key(observed: &Observations, sent: &Sent, arrivals: &[&Received]) -> Option<String> {
    let withdrawal = observed
        .ended_faults
        .iter()
        .find(|fault| fault.kind == FaultKind::WithdrawKey)?;
    let is_late = sent.team == BLUE && sent.at > withdrawal.from + MAX_REVOCATION_DELAY;
    (is_late && arrivals.iter().any(|arrival| arrival.executed)).then(|| {
        let after = sent.at - withdrawal.from;
        format!("ran although sent {after:?} after the key was withdrawn")
    })
}

/// Returns whether, at some time in this span, the entry was stopped, killed or
/// frozen, or had a fault on its link to callers.
fn is_disturbed(observed: &Observations, entry: usize, from: Instant, to: Instant) -> bool {
    let kinds = [FaultKind::Terminate, FaultKind::Kill, FaultKind::Freeze];
    observed.ended_faults.iter().any(|fault| {
        (kinds.contains(&fault.kind) || fault.kind.affects_callers_link())
            && fault.target == entry
            && fault.from <= to
            && fault.to >= from
    })
}

/// Requests are answered by their deadline, unless the entry was disturbed.
fn in_time(observed: &Observations, sent: &Sent, _: &[&Received]) -> Option<String> {
    let took = sent.ended - sent.at;
    let is_late = took > DEADLINE + LATE_TOLERANCE
        && !is_disturbed(observed, sent.entry, sent.at, sent.ended);
    is_late.then(|| "answered too late".into())
}

/// With planned work alone, each request that an entry read is answered without
/// a server error.
fn planned_work(observed: &Observations, sent: &Sent, arrivals: &[&Received]) -> Option<String> {
    if observed.has_unplanned_faults || sent.was_abandoned {
        return None;
    }
    match &sent.result {
        Ok(answer) if answer.status >= 500 && !NOT_RUN.contains(&answer.status) => {
            Some("server error".into())
        }
        Ok(_) => None,
        Err(err) if err.is_not_sent() => None,
        Err(_) if arrivals.is_empty() && sent.ended - sent.at <= LOSS_NOTICE_TOLERANCE => None,
        Err(err) => Some(format!("lost: {err}")),
    }
}

/// Failed requests appear in the entry's log, unless lines may be missing.
fn failure_is_logged(observed: &Observations, sent: &Sent, _: &[&Received]) -> Option<String> {
    let answer = sent.result.as_ref().ok()?;
    let log = &observed.logs[sent.entry];
    let is_logged = answer.status < 400 || log.has_gaps || log.text.contains(&sent.id);
    (!is_logged).then(|| "request id not in the entry's log".into())
}
