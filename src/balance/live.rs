//! Load and results of one endpoint, as one entry sees them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::balance;
use crate::runtime;
use crate::units;

/// Weight of a new result in the running means.
const MEAN_WEIGHT: f64 = 0.15;
/// First suspension of an endpoint that fails; doubles with each further one.
const SUSPENSION: Duration = Duration::from_millis(500);
/// Longest suspension, so that a recovered endpoint is soon in use again.
const MAX_SUSPENSION: Duration = Duration::from_secs(4);
/// Share of failures above which an endpoint is suspended.
const MAX_FAILURE_SHARE: f64 = 0.45;
/// Time after which a reported load is no longer counted.
const LOAD_MEMORY: Duration = Duration::from_millis(1_500);
/// Least silence of an endpoint with work of this entry after which it is asked
/// for a connection: a busy engine is silent too while it reads long prompts.
const DARK_SILENCE: Duration = Duration::from_millis(900);
/// The endpoint's usual time to the first byte, this many times, is no such
/// silence: a busy engine reads long prompts before it says anything.
const DARK_USUAL: f64 = 3.0;
/// Time to the first byte of an endpoint that has not answered yet.
const UNKNOWN_FIRST: Duration = Duration::from_millis(40);
/// Long silences after which an endpoint that accepts connections is given up
/// too, since one that hangs accepts them; a second run then still begins
/// within an objective of 1.5 to 2 s.
const HUNG_SILENCES: f64 = 1.5;

/// Time in which one request asks a silent endpoint for a connection, for all.
const ASK_TIME: Duration = Duration::from_millis(400);

/// What to do about an endpoint's silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Nothing: it is not silent, or another request is finding out why.
    None,
    /// Ask it for a connection, and report [`Live::reached`] or [`Live::lost`].
    Ask,
    /// Give it up: it accepts no connection, or has been silent for too long.
    Dark,
}

/// Load as an endpoint reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
}

/// How a run has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// No connection could be made.
    Unreachable,
    /// The connection broke, or the answer made no sense.
    Broken,
    /// The endpoint answered with a failure.
    #[strum(serialize = "failed")]
    Answered,
    /// Nothing came in time.
    Silent,
    /// The endpoint refused as it is full.
    Refused,
    /// Another process answers at its address.
    Misdirected,
}

/// Whether a silent endpoint accepts connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Reach {
    /// It was heard, or nothing is known yet.
    #[default]
    Open,
    /// It does, or a request of this entry is finding out; not asked again until then.
    Checked(runtime::Moment),
    /// It does not.
    Lost,
}

#[derive(Debug, Default)]
struct State {
    in_flight: u32,
    /// Prompt tokens of requests that have not begun to answer.
    pending_tokens: u64,
    /// Requests that have not begun to answer.
    waiting: u32,
    /// Sum of the moments at which those were sent, in milliseconds.
    waiting_since: u64,
    reported: Option<(ReportedLoad, runtime::Moment, u32)>,
    /// Running mean of the time to the first byte, in milliseconds.
    mean_first: Option<f64>,
    failure_share: f64,
    suspensions: u32,
    suspended_until: runtime::Moment,
    heard: runtime::Moment,
    reach: Reach,
    /// Until when it is taken for cold because it has failed.
    cold_until: runtime::Moment,
    gate: balance::ColdGate,
}

impl State {
    /// Silence that is longer than the endpoint's usual.
    fn long_silence(&self) -> Duration {
        let usual = self.mean_first.unwrap_or_default() * DARK_USUAL / 1_000.0;
        DARK_SILENCE.max(Duration::from_secs_f64(usual))
    }

    fn is_silent(&self, now: runtime::Moment) -> bool {
        self.in_flight > 0 && now.since(self.heard) > self.long_silence()
    }

    fn hangs(&self, now: runtime::Moment) -> bool {
        now.since(self.heard) > self.long_silence().mul_f64(HUNG_SILENCES)
    }

    fn fresh_report(&self, now: runtime::Moment) -> Option<(ReportedLoad, runtime::Moment, u32)> {
        self.reported
            .filter(|(_, at, _)| now.since(*at) < LOAD_MEMORY)
    }
}

/// Record of one endpoint, shared between the snapshot and requests.
#[derive(Debug, Default)]
pub struct Live {
    state: Mutex<State>,
}

impl Live {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that is about to be sent.
    #[must_use]
    pub fn begin(self: &Arc<Self>, tokens: units::Tokens, now: runtime::Moment) -> Permit {
        let mut state = self.lock();
        if state.in_flight == 0 {
            state.heard = now;
            state.reach = Reach::Open;
        }
        state.in_flight += 1;
        state.pending_tokens += tokens.0;
        state.waiting += 1;
        state.waiting_since += now.as_millis();
        state.gate.take();
        drop(state);
        Permit {
            live: Arc::clone(self),
            waiting: Some((tokens, now)),
        }
    }

    /// Records the load that came with an answer.
    pub fn reported(&self, load: ReportedLoad, now: runtime::Moment) {
        let mut state = self.lock();
        state.reported = Some((load, now, state.in_flight));
    }

    /// The endpoint has sent something.
    pub fn heard(&self, now: runtime::Moment) {
        let mut state = self.lock();
        state.heard = now;
        state.reach = Reach::Open;
    }

    /// The silent endpoint accepts a connection, so its requests wait on for a
    /// while. New ones go elsewhere: a process that hangs accepts connections too.
    pub fn reached(&self, now: runtime::Moment) {
        let mut state = self.lock();
        state.reach = Reach::Checked(now.after(state.long_silence()));
    }

    /// The silent endpoint accepts no connection.
    pub fn lost(&self) {
        self.lock().reach = Reach::Lost;
    }

    /// Whether the endpoint has been silent with work of this entry.
    #[must_use]
    pub fn is_silent(&self, now: runtime::Moment) -> bool {
        self.lock().is_silent(now)
    }

    /// What a request that waits for the endpoint has to do about its silence.
    #[must_use]
    pub fn silence(&self, now: runtime::Moment) -> Silence {
        let mut state = self.lock();
        match state.reach {
            _ if !state.is_silent(now) => Silence::None,
            Reach::Lost => Silence::Dark,
            _ if state.hangs(now) => Silence::Dark,
            Reach::Checked(until) if now < until => Silence::None,
            Reach::Open | Reach::Checked(_) => {
                state.reach = Reach::Checked(now.after(ASK_TIME));
                Silence::Ask
            }
        }
    }

    /// A run has been answered; `first` is the time to its first byte.
    pub fn succeeded(&self, first: Duration) {
        let mut state = self.lock();
        let millis = first.as_secs_f64() * 1_000.0;
        state.mean_first = Some(match state.mean_first {
            None => millis,
            Some(mean) => MEAN_WEIGHT.mul_add(millis - mean, mean),
        });
        state.failure_share *= 1.0 - MEAN_WEIGHT;
        if state.failure_share < MAX_FAILURE_SHARE / 2.0 {
            state.suspensions = 0;
        }
    }

    /// A run has failed. `cold` is how long the endpoint may be cold if it has
    /// started again.
    pub fn failed(&self, failure: Failure, cold: Duration, now: runtime::Moment) {
        let mut state = self.lock();
        if failure == Failure::Refused {
            return;
        }
        state.failure_share = MEAN_WEIGHT.mul_add(1.0 - state.failure_share, state.failure_share);
        let is_down = matches!(
            failure,
            Failure::Unreachable | Failure::Silent | Failure::Misdirected
        );
        if !matches!(failure, Failure::Answered | Failure::Misdirected) {
            state.cold_until = now.after(cold);
        }
        if is_down || state.failure_share > MAX_FAILURE_SHARE {
            let doubled = SUSPENSION * 2_u32.saturating_pow(state.suspensions.min(4));
            state.suspended_until = now.after(doubled.min(MAX_SUSPENSION));
            state.suspensions += 1;
        }
    }

    /// Whether the endpoint is left alone for now.
    #[must_use]
    pub fn is_suspended(&self, now: runtime::Moment) -> bool {
        self.lock().suspended_until > now
    }

    /// Whether it may be sent a request, being cold or having failed lately.
    #[must_use]
    pub fn admits(
        &self,
        cold_until: runtime::Moment,
        rate: Option<units::Rate>,
        now: runtime::Moment,
    ) -> bool {
        let Some(rate) = rate else { return true };
        let mut state = self.lock();
        cold_until.max(state.cold_until) <= now || state.gate.is_open(rate, now)
    }

    /// Requests that it runs or that wait at it, by its last report and what
    /// this entry has sent since.
    #[must_use]
    pub fn load(&self, now: runtime::Moment) -> u32 {
        let state = self.lock();
        match state.fresh_report(now) {
            Some((load, _, own)) => {
                let others = (load.running + load.waiting).saturating_sub(own);
                others + state.in_flight
            }
            None => state.in_flight,
        }
    }

    /// Age of the report that [`Self::load`] counts.
    #[must_use]
    pub fn load_age(&self, now: runtime::Moment) -> Option<Duration> {
        let (_, at, _) = self.lock().fresh_report(now)?;
        Some(now.since(at))
    }

    /// Prompt tokens of this entry that it has not begun to answer.
    #[must_use]
    pub fn pending_tokens(&self) -> u64 {
        self.lock().pending_tokens
    }

    /// Running mean of the time to the first byte.
    #[must_use]
    pub fn mean_first(&self) -> Option<Duration> {
        let millis = self.lock().mean_first?;
        Some(Duration::from_secs_f64(millis / 1_000.0))
    }

    /// Time after which a request that is sent now may be answered: as long as
    /// of late, or as long as the present ones have waited already.
    #[must_use]
    pub fn expected_first(&self, now: runtime::Moment) -> Duration {
        let state = self.lock();
        let usual = state.mean_first.map_or(UNKNOWN_FIRST, |millis| {
            Duration::from_secs_f64(millis / 1_000.0)
        });
        let since = state.waiting_since.checked_div(u64::from(state.waiting));
        let waited = since.map(|since| now.since(runtime::Moment::from_millis(since)));
        usual.max(waited.unwrap_or_default())
    }

    /// Share of its runs that failed lately.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.lock().failure_share
    }
}

/// A request at an endpoint; dropping it ends the count.
#[derive(Debug)]
pub struct Permit {
    live: Arc<Live>,
    /// Prompt and moment of the request, until the endpoint begins to answer.
    waiting: Option<(units::Tokens, runtime::Moment)>,
}

impl Permit {
    /// The endpoint has begun to answer.
    pub fn answered(&mut self) {
        let Some((tokens, sent)) = self.waiting.take() else {
            return;
        };
        let mut state = self.live.lock();
        state.pending_tokens -= tokens.0;
        state.waiting -= 1;
        state.waiting_since -= sent.as_millis();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.answered();
        self.live.lock().in_flight -= 1;
    }
}
