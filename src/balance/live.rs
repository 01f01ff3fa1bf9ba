//! Load, latency and failures of one endpoint, as observed by one entry.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::balance;
use crate::ids;
use crate::runtime;
use crate::units;

/// Weight of a new sample in the moving averages.
const MEAN_WEIGHT: f64 = 0.15;
/// Weight of a new sample while the endpoint changes, as it starts or recovers.
const RISING_WEIGHT: f64 = 0.5;
/// Fraction of failed attempts above which an endpoint is suspended.
const MAX_FAILURE_SHARE: f64 = 0.45;
/// Age at which a load report is ignored.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(4);
/// Minimum silence of an endpoint with requests of this entry before a
/// connection attempt checks it. A busy engine is silent too while it reads
/// long prompts.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Multiple of the endpoint's mean time to first byte that raises this
/// timeout: a busy engine reads long prompts before it sends anything.
const SILENCE_TIMEOUT_FACTOR: f64 = 3.0;
/// Multiple of the longest reading time among the waiting requests that is added
/// to the timeout. Other entries may have sent a prompt of this length just before.
const SILENCE_READING_FACTOR: f64 = 2.0;
/// Expected wait at an endpoint that has not answered yet.
const DEFAULT_WAIT: Duration = Duration::from_millis(40);
/// Time constant with which the mean wait of an endpoint drifts back to the default: an entry
/// of many gets an answer of each endpoint only every few seconds.
const WAIT_DRIFT: Duration = Duration::from_secs(3);
/// Time of writing at one endpoint in which the mean gap between its events follows a change.
const GAP_MEMORY: Duration = Duration::from_secs(1);
/// Multiple of the silence timeout after which an endpoint is abandoned even
/// though it accepts connections, since a hung process accepts them too. A
/// retry then still starts within a latency objective of 1.5 to 2 s.
const UNRESPONSIVE_FACTOR: f64 = 1.5;

/// Time granted to the one request that checks a silent endpoint on behalf of
/// all requests waiting for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// What a waiting request has to do about a silent endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceAction {
    /// Keep waiting: the endpoint is not silent, or another request is checking it.
    None,
    /// Try to open a connection, then call [`Live::record_reachable`] or [`Live::record_unreachable`].
    Probe,
    /// Abandon the endpoint: it accepts no connection or has been silent for too long.
    Unresponsive,
}

/// Load that an endpoint reports with its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Requests being executed, over all callers.
    pub running: u32,
    /// Requests queued at the endpoint, over all callers.
    pub waiting: u32,
    /// Requests that the endpoint executes at once; `None` if not stated.
    pub slots: Option<u32>,
    /// How long work takes there at this moment; `None` if not stated.
    pub work_time: Option<balance::WorkTime>,
}

/// Figures of an endpoint that the choice of one weighs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Requests running or queued at the endpoint: the reported load of other callers
    /// plus this entry's requests in flight.
    pub load: u32,
    /// Expected wait before the engine reads the prompt of a request sent now.
    pub wait: Duration,
    /// The same with a mean that loses its weight with its age. Equals `wait` for an endpoint
    /// that states its work time.
    pub recent_wait: Duration,
    /// Time to read the prompts of this entry's requests whose answer has not begun.
    pub pending_reading: Duration,
    /// Prompt tokens that the endpoint would have to read; `None` without a prompt.
    pub unread: Option<units::Tokens>,
    /// Moving average of the fraction of failed attempts, from 0 to 1.
    pub failure_share: f64,
    /// Requests in flight of this entry alone.
    pub own_load: u32,
    /// Slots by the last report; `None` if not stated.
    pub slots: Option<u32>,
    /// Age of the load report; `None` where `load` counts only this entry's own requests.
    pub load_age: Option<Duration>,
    /// Speed of the endpoint; `None` if it has never stated its work time.
    pub speed: Option<balance::EndpointSpeed>,
    /// Mean gap between events of this entry's streams there, and the age of the last one;
    /// `None` before the first.
    pub gap: Option<(Duration, Duration)>,
}

/// How an attempt at an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// No connection could be established.
    Unreachable,
    /// The connection broke or the answer was malformed.
    Broken,
    /// The endpoint answered, but with an error.
    #[strum(serialize = "failed")]
    Answered,
    /// Nothing was received within the timeout.
    Silent,
    /// The endpoint refused the request because it is at capacity.
    Refused,
    /// A different process answered at the endpoint's address.
    Misdirected,
}

/// Whether a silent endpoint accepts connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Reachability {
    /// Active, or not checked since it fell silent.
    #[default]
    Unchecked,
    /// Accepts connections, or a request is checking; not checked again before this time.
    Reachable(runtime::Moment),
    /// Accepts no connection; cleared when the endpoint sends something.
    Unreachable,
}

#[derive(Debug, Default)]
struct State {
    pacer: balance::Pacer,
    in_flight: u32,
    /// Expected reading time of the requests counted in `waiting`, in sum.
    pending_reading: Duration,
    /// Longest such time since requests last began to wait.
    longest_reading: Duration,
    /// Requests whose answer has not begun.
    waiting: u32,
    /// Sum of the times at which those were sent, in milliseconds.
    waiting_since_sum_ms: u64,
    /// Last load report, its time, and the requests of this entry in flight then.
    load_report: Option<(ReportedLoad, runtime::Moment, u32)>,
    /// Moving average of the time to first byte, in milliseconds.
    mean_first_byte_ms: Option<f64>,
    /// Moving average of the part of it that reading the prompt does not explain, in
    /// milliseconds at the usual pace.
    mean_wait_ms: Option<f64>,
    /// Time of the last answer in that average; `None` before the first.
    mean_wait_at: Option<runtime::Moment>,
    /// `None` if the endpoint has never stated its work time.
    speed: Option<balance::EndpointSpeed>,
    /// Mean gap between events of this entry's streams.
    gap: Option<balance::EventGap>,
    gap_at: runtime::Moment,
    /// Prompt parts that the endpoint has probably cached.
    cached: balance::CachedParts,
    failure_share: f64,
    last_seen: runtime::Moment,
    reachability: Reachability,
}

impl State {
    /// Silence after which the endpoint counts as silent.
    fn silence_timeout(&self) -> Duration {
        let typical =
            self.mean_first_byte_ms.unwrap_or_default() * SILENCE_TIMEOUT_FACTOR / 1_000.0;
        let reading = self.longest_reading.mul_f64(SILENCE_READING_FACTOR);
        MIN_SILENCE_TIMEOUT.max(Duration::from_secs_f64(typical)) + reading
    }

    /// Moving average of the wait before an engine reads a prompt, or the mean time that
    /// current requests have already waited if that is longer.
    fn expected_wait(&self, now: runtime::Moment) -> Duration {
        let typical = self.typical_wait();
        let paced = self.speed.map_or(typical, |speed| {
            self.drifted_wait(now).mul_f64(speed.pace(now))
        });
        paced.max(self.mean_waited(now))
    }

    fn gap(&self, now: runtime::Moment) -> Option<(Duration, Duration)> {
        let gap = self.gap?.get();
        Some((gap, now.saturating_since(self.gap_at)))
    }

    fn typical_wait(&self) -> Duration {
        self.mean_wait_ms.map_or(DEFAULT_WAIT, |millis| {
            Duration::from_secs_f64(millis / 1_000.0)
        })
    }

    /// Typical wait, which drifts to the default with its age.
    fn drifted_wait(&self, now: runtime::Moment) -> Duration {
        let typical = self.typical_wait();
        let age = self.mean_wait_at.map(|at| now.saturating_since(at));
        let kept = (-age.unwrap_or_default().as_secs_f64() / WAIT_DRIFT.as_secs_f64()).exp();
        let above = typical.saturating_sub(DEFAULT_WAIT);
        typical.min(DEFAULT_WAIT) + above.mul_f64(kept)
    }

    /// Mean time that this entry's requests have waited for their answers to begin.
    fn mean_waited(&self, now: runtime::Moment) -> Duration {
        let since = self
            .waiting_since_sum_ms
            .checked_div(u64::from(self.waiting));
        let waited = since.map(|since| now.saturating_since(runtime::Moment::from_millis(since)));
        waited.unwrap_or_default()
    }

    /// Usual wait before an engine reads a prompt; `None` before the first answer.
    fn usual_wait(&self) -> Option<Duration> {
        let millis = self.mean_wait_ms?;
        Some(Duration::from_secs_f64(millis / 1_000.0))
    }

    /// What the pace of the endpoint depends on.
    fn observed(&self, now: runtime::Moment) -> balance::Observed {
        balance::Observed {
            waiting: self.waiting,
            is_silent: self.is_silent(now),
            usual: self.usual_wait(),
        }
    }

    fn load(&self, now: runtime::Moment) -> u32 {
        match self.current_report(now) {
            Some((load, _, own_requests)) => {
                let reported = load.running.saturating_add(load.waiting);
                let other_requests = reported.saturating_sub(own_requests);
                other_requests.saturating_add(self.in_flight)
            }
            None => self.in_flight,
        }
    }

    fn is_silent(&self, now: runtime::Moment) -> bool {
        self.in_flight > 0 && now.saturating_since(self.last_seen) > self.silence_timeout()
    }

    /// Stops counting a request as waiting for its answer to begin.
    fn end_wait(&mut self, reading: Duration, sent: runtime::Moment) {
        self.pending_reading = self.pending_reading.saturating_sub(reading);
        self.waiting -= 1;
        self.waiting_since_sum_ms -= sent.as_millis();
    }

    fn is_unresponsive(&self, now: runtime::Moment) -> bool {
        now.saturating_since(self.last_seen) > self.silence_timeout().mul_f64(UNRESPONSIVE_FACTOR)
    }

    fn current_report(&self, now: runtime::Moment) -> Option<(ReportedLoad, runtime::Moment, u32)> {
        self.load_report
            .filter(|(_, at, _)| now.saturating_since(*at) < LOAD_REPORT_TTL)
    }
}

/// Live figures of one endpoint, shared by the snapshots and all requests.
#[derive(Debug, Default)]
pub struct Live {
    state: Mutex<State>,
}

impl Live {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that is about to be sent, for as long as the permit lives.
    /// `reading` is the time that the engine takes to read its prompt.
    #[must_use]
    pub fn begin(self: &Arc<Self>, reading: Duration, now: runtime::Moment) -> Permit {
        let mut state = self.lock();
        let observed = state.observed(now);
        state.pacer.send(&observed, now);
        if state.in_flight == 0 {
            state.last_seen = now;
            state.reachability = Reachability::Unchecked;
        }
        state.in_flight += 1;
        state.longest_reading = if state.waiting == 0 {
            reading
        } else {
            state.longest_reading.max(reading)
        };
        state.pending_reading += reading;
        state.waiting += 1;
        state.waiting_since_sum_ms += now.as_millis();
        drop(state);
        Permit {
            live: Arc::clone(self),
            waiting: Some((reading, now)),
        }
    }

    /// Records that the endpoint leaves, by an answer or its record. Returns whether that is
    /// new.
    pub fn leave(&self) -> bool {
        self.lock().pacer.leave()
    }

    /// Records that the endpoint wants no requests for a time. Returns whether that is new.
    pub fn pause(&self, pause: Duration, now: runtime::Moment) -> bool {
        self.lock().pacer.pause(pause, now)
    }

    /// Records that the endpoint has started or returned. `usual` is the wait expected of it
    /// where it has not answered yet; `None` if it is not known.
    pub fn start(&self, bounds: balance::Bounds, usual: Option<Duration>) {
        let mut state = self.lock();
        let observed = balance::Observed {
            waiting: state.waiting,
            is_silent: false,
            usual: state.usual_wait().or(usual),
        };
        state.pacer.start(bounds, &observed);
    }

    /// Records the limit that the endpoint names for all entries together, by its last answer
    /// or what other entries know; `None` if it names none. Returns whether that is new.
    pub fn name_limit(&self, limit: Option<units::Rate>) -> bool {
        self.lock().pacer.name_limit(limit)
    }

    /// Returns the limit that the endpoint names for all entries together; `None` if it names
    /// none.
    #[must_use]
    pub fn named_limit(&self) -> Option<units::Rate> {
        self.lock().pacer.named_limit()
    }

    /// Checks whether the endpoint takes another request of this entry.
    #[must_use]
    pub fn admission(&self, bounds: balance::Bounds, now: runtime::Moment) -> balance::Admission {
        let mut state = self.lock();
        let observed = state.observed(now);
        state.pacer.admission(bounds, &observed, now)
    }

    /// Takes the last change of the pace for the log; `None` if there is none since the last
    /// call.
    #[must_use]
    pub fn take_pace_change(&self) -> Option<balance::Change> {
        self.lock().pacer.take_change()
    }

    /// Usual wait before it reads a prompt; `None` before the first answer.
    #[must_use]
    pub fn usual_wait(&self) -> Option<Duration> {
        self.lock().usual_wait()
    }

    /// Records the load report received with an answer.
    pub fn record_load(&self, load: ReportedLoad, now: runtime::Moment) {
        let mut state = self.lock();
        // A status without a work time doesn't end the one stated before.
        if let Some(stated) = load.work_time {
            match &mut state.speed {
                Some(speed) => speed.state(stated, now),
                None => state.speed = Some(balance::EndpointSpeed::new(stated, now)),
            }
        }
        state.load_report = Some((load, now, state.in_flight));
    }

    /// Records that the endpoint sent something, which ends its silence.
    pub fn record_activity(&self, now: runtime::Moment) {
        let mut state = self.lock();
        state.last_seen = now;
        state.reachability = Reachability::Unchecked;
    }

    /// Records that the silent endpoint accepted a connection, so waiting requests
    /// stay for now. New requests avoid it, as a hung process accepts connections too.
    pub fn record_reachable(&self, now: runtime::Moment) {
        let mut state = self.lock();
        state.reachability = Reachability::Reachable(now.saturating_add(state.silence_timeout()));
    }

    /// Records that the silent endpoint accepted no connection.
    pub fn record_unreachable(&self) {
        self.lock().reachability = Reachability::Unreachable;
    }

    /// Returns what a waiting request has to do. `Probe` goes to one request at a
    /// time and is repeated when no result arrives within the probe timeout.
    #[must_use]
    pub fn silence_action(&self, now: runtime::Moment) -> SilenceAction {
        let mut state = self.lock();
        match state.reachability {
            _ if !state.is_silent(now) => SilenceAction::None,
            Reachability::Unreachable => SilenceAction::Unresponsive,
            _ if state.is_unresponsive(now) => SilenceAction::Unresponsive,
            Reachability::Reachable(until) if now < until => SilenceAction::None,
            Reachability::Unchecked | Reachability::Reachable(_) => {
                state.reachability = Reachability::Reachable(now.saturating_add(PROBE_TIMEOUT));
                SilenceAction::Probe
            }
        }
    }

    /// Records that the endpoint reads a prompt and keeps its parts.
    pub fn record_prompt(&self, reading: &balance::Reading<'_>, now: runtime::Moment) {
        self.lock().cached.record(reading.cached_ids(), now);
    }

    /// Prompt tokens that the endpoint would have to read.
    #[must_use]
    pub fn unread(&self, reading: &balance::Reading<'_>, now: runtime::Moment) -> units::Tokens {
        reading.unread(&self.lock().cached, now)
    }

    /// Records an answered attempt whose answer has begun at `now`. `first` is its time to
    /// first byte, of which the engine needed `reading` to read the prompt.
    pub fn record_success(&self, first: Duration, reading: Duration, now: runtime::Moment) {
        let mut state = self.lock();
        let pace = state.speed.map_or(1.0, |speed| speed.stated().factor());
        let wait = first.saturating_sub(reading).div_f64(pace);
        let answer = balance::Answer {
            wait,
            load: state.load_report.map(|(load, ..)| load),
        };
        let observed = balance::Observed {
            waiting: state.waiting,
            is_silent: false,
            usual: state.usual_wait(),
        };
        state.pacer.answer(&answer, &observed);
        let weight = if state.pacer.is_rising() {
            RISING_WEIGHT
        } else {
            MEAN_WEIGHT
        };
        add_sample(&mut state.mean_first_byte_ms, first, weight);
        add_sample(&mut state.mean_wait_ms, wait, weight);
        state.mean_wait_at = Some(now);
        if let Some(speed) = &mut state.speed {
            speed.record(first, reading);
        }
        state.failure_share *= 1.0 - weight;
    }

    /// Records a failed attempt. `cold` is how long the endpoint is cold if the failure was a
    /// restart.
    pub fn record_failure(&self, failure: Failure, cold: Duration, now: runtime::Moment) {
        let mut state = self.lock();
        if failure != Failure::Refused {
            state.failure_share =
                MEAN_WEIGHT.mul_add(1.0 - state.failure_share, state.failure_share);
        }
        if matches!(
            failure,
            Failure::Unreachable | Failure::Broken | Failure::Silent
        ) {
            state.cached.clear();
        }
        let is_failing = state.failure_share > MAX_FAILURE_SHARE;
        let observed = state.observed(now);
        state.pacer.fail(failure, is_failing, cold, &observed, now);
    }

    /// Returns how long a request to the endpoint with this id has to wait; `None` if none
    /// is allowed. Requests are limited while the endpoint is cold, by its record or after a
    /// failure, and while it names a limit.
    #[must_use]
    pub fn permit_delay(
        &self,
        endpoint: &ids::EndpointId,
        cold_until: runtime::Moment,
        rates: &balance::SharedRates,
        now: runtime::Moment,
    ) -> Option<Duration> {
        let mut state = self.lock();
        let observed = state.observed(now);
        state
            .pacer
            .permit_delay(endpoint, cold_until, rates, &observed, now)
    }

    /// Age of the report used by [`Self::load`]; `None` when there is no current one.
    #[must_use]
    pub fn load_age(&self, now: runtime::Moment) -> Option<Duration> {
        let (_, at, _) = self.lock().current_report(now)?;
        Some(now.saturating_since(at))
    }

    /// Records the time between two events of a stream from the endpoint.
    pub fn record_event_gap(&self, gap: Duration, now: runtime::Moment) {
        let mut state = self.lock();
        balance::EventGap::record(&mut state.gap, gap, GAP_MEMORY);
        state.gap_at = now;
    }

    /// Returns the writing time at the endpoint relative to that of the service's engines,
    /// whose mean gap between events is `service`.
    #[must_use]
    pub fn writing_factor(&self, service: Option<Duration>, now: runtime::Moment) -> f64 {
        let state = self.lock();
        let usual = state.speed.map_or(1.0, |speed| speed.usual());
        balance::writing_factor(state.gap(now), service, usual)
    }

    /// Returns the speed of the endpoint; `None` if it has never stated its work time.
    #[must_use]
    pub fn speed(&self) -> Option<balance::EndpointSpeed> {
        self.lock().speed
    }

    /// Figures that the choice of an endpoint weighs. `reading` is the prompt of the
    /// request, if it has one.
    #[must_use]
    pub fn figures(&self, reading: Option<&balance::Reading<'_>>, now: runtime::Moment) -> Figures {
        let state = self.lock();
        let report = state.current_report(now);
        Figures {
            load: state.load(now),
            wait: state
                .pacer
                .wait(state.expected_wait(now), &state.observed(now), now),
            recent_wait: {
                let recent = if state.speed.is_some() {
                    state.expected_wait(now)
                } else {
                    state.drifted_wait(now).max(state.mean_waited(now))
                };
                state.pacer.wait(recent, &state.observed(now), now)
            },
            pending_reading: state.pending_reading,
            unread: reading.map(|reading| reading.unread(&state.cached, now)),
            // A try is due however the attempts before it went.
            failure_share: if state.pacer.is_probing() {
                0.0
            } else {
                state.failure_share
            },
            own_load: state.in_flight,
            slots: report.and_then(|(load, ..)| load.slots),
            load_age: report.map(|(_, at, _)| now.saturating_since(at)),
            speed: state.speed,
            gap: state.gap(now),
        }
    }

    /// Moving average of the time to first byte; `None` before the first answer.
    #[must_use]
    pub fn mean_first_byte(&self) -> Option<Duration> {
        let millis = self.lock().mean_first_byte_ms?;
        Some(Duration::from_secs_f64(millis / 1_000.0))
    }
}

/// Adds a sample to a moving average in milliseconds.
fn add_sample(mean_ms: &mut Option<f64>, sample: Duration, weight: f64) {
    let millis = sample.as_secs_f64() * 1_000.0;
    *mean_ms = Some(match *mean_ms {
        None => millis,
        Some(mean) => weight.mul_add(millis - mean, mean),
    });
}

/// Counts one request at an endpoint until dropped.
#[derive(Debug)]
pub struct Permit {
    live: Arc<Live>,
    /// Reading time and send time, until the answer begins.
    waiting: Option<(Duration, runtime::Moment)>,
}

impl Permit {
    /// Records that the answer has begun; further calls have no effect.
    pub fn record_first_byte(&mut self) {
        if let Some((reading, sent)) = self.waiting.take() {
            self.live.lock().end_wait(reading, sent);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.live.lock();
        if let Some((reading, sent)) = self.waiting.take() {
            state.end_wait(reading, sent);
            state.pacer.give_up(sent);
        }
        state.in_flight -= 1;
    }
}
