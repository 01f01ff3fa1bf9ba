//! Life cycle of an endpoint that is not at its full load, and its moves.
//!
//! Load pattern: endpoints start, restart, leave a pause, recover from failures or return
//! from an evacuation during a burst, one after the other or a failure domain at once.
//! They look idle, so that every entry prefers them. A limit on unanswered requests rises
//! with each answer in time, which doubles it in each round, since the answers alone tell
//! what the endpoint can take.

use std::time::Duration;

use crate::balance;
use crate::balance::pace;
use crate::runtime;

/// Multiple of the usual wait above which an answer is late.
const LATE_FACTOR: f64 = 2.0;
/// Multiple of the usual wait up to which an endpoint is as fast as before. One that is
/// slower keeps its limit, which rises beyond what it gets, and is tried again when idle.
const USUAL_FACTOR: f64 = 1.25;
/// Usual wait below which noise of links and timers would count as lateness.
const MIN_USUAL: Duration = Duration::from_millis(40);
/// Late answers in sequence after which the limit rises slowly: the endpoint is slower than
/// before rather than overloaded, since it got no more than it had.
const PATIENCE: u32 = 4;
/// Multiple of its last waits for which a slow endpoint may be left idle, before another
/// request finds out whether it still is slow.
const IDLE_FACTOR: u32 = 4;
/// Longest time between two requests of an entry, however small its share is: a newcomer
/// may have none.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time until a request at the limit looks again, however many answers are due.
const MIN_INTERVAL: Duration = Duration::from_millis(5);
/// Fraction to which trouble lowers the limit.
const DECREASE: f64 = 0.5;
/// Time granted to the request that tries a failed endpoint, until another one may.
const PROBE_TIMEOUT: Duration = Duration::from_secs(4);

/// State without a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// State in which no request is sent before a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    until: runtime::Moment,
    /// Whether the endpoint has asked for it; otherwise it has failed.
    asked: bool,
}

/// State in which one request tries an endpoint that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probing {
    /// When the request was sent; `None` before.
    sent: Option<runtime::Moment>,
}

/// State with a limit that rises with the answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rising {
    limit: pace::Limit,
    /// Limit from which on it rises by one in each round; infinite before any trouble.
    threshold: pace::Limit,
    /// Expected wait; `None` before the first answer of an unknown endpoint.
    usual: Option<Duration>,
    /// Late answers in sequence.
    late: u32,
    /// When the last request was sent; `None` before.
    sent: Option<runtime::Moment>,
    /// When the limit last fell; `None` before.
    fell: Option<runtime::Moment>,
    /// Whether the endpoint returns from a pause that it has asked for.
    asked: bool,
}

/// Final state of an incarnation: no request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving;

/// Pace of an endpoint in the state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace<S> {
    state: S,
}

/// Answer that has begun.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// Time from the send to the first byte, less the time to read the prompt.
    pub wait: Duration,
    /// Load that the endpoint states, over all entries; `None` if it does not.
    pub load: Option<balance::ReportedLoad>,
}

/// Weight of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The endpoint refused the request.
    Refused,
    /// The request failed, while others may not.
    Fault,
    /// No request can succeed, or most fail.
    Down,
}

/// Result of an answer for a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Step {
    Up(Pace<Rising>),
    Hold(Pace<Rising>),
    Full(Pace<Full>),
}

impl Pace<Full> {
    pub(super) const fn new() -> Self {
        Self { state: Full }
    }

    pub(super) const fn close(self, until: runtime::Moment, asked: bool) -> Pace<Closed> {
        let Self { state: Full } = self;
        Pace::closed(until, asked)
    }

    /// Begins to limit an endpoint, at least to what it has in hand.
    pub(super) fn rise(self, bounds: &pace::Bounds, observed: &pace::Observed) -> Pace<Rising> {
        let Self { state: Full } = self;
        Pace::rising(bounds, observed, false)
    }

    pub(super) const fn leave(self) -> Pace<Leaving> {
        let Self { state: Full } = self;
        Pace { state: Leaving }
    }
}

impl Pace<Closed> {
    const fn closed(until: runtime::Moment, asked: bool) -> Self {
        Self {
            state: Closed { until, asked },
        }
    }

    /// A request for a pause never shortens the time.
    pub(super) fn prolong(self, until: runtime::Moment) -> Self {
        Self::closed(self.state.until.max(until), true)
    }

    pub(super) fn is_due(&self, now: runtime::Moment) -> bool {
        now >= self.state.until
    }

    /// Whether the endpoint has asked for the pause.
    pub(super) const fn is_asked(&self) -> bool {
        self.state.asked
    }

    pub(super) const fn until(&self) -> runtime::Moment {
        self.state.until
    }

    /// The pause is over, and the endpoint itself has named its end.
    pub(super) fn reopen(self, bounds: &pace::Bounds, observed: &pace::Observed) -> Pace<Rising> {
        Pace::rising(bounds, observed, self.state.asked)
    }

    /// The suspension is over; one request finds out whether the endpoint works.
    pub(super) const fn probe(self) -> Pace<Probing> {
        let Closed { .. } = self.state;
        Pace {
            state: Probing { sent: None },
        }
    }

    pub(super) const fn leave(self) -> Pace<Leaving> {
        let Closed { .. } = self.state;
        Pace { state: Leaving }
    }
}

impl Pace<Probing> {
    /// Time until which the request under way has to be answered; `None` if there is none.
    pub(super) fn probed_until(&self, now: runtime::Moment) -> Option<runtime::Moment> {
        let until = self.state.sent?.saturating_add(PROBE_TIMEOUT);
        (now < until).then_some(until)
    }

    pub(super) const fn send(mut self, now: runtime::Moment) -> Self {
        self.state.sent = Some(now);
        self
    }

    /// The caller of the request sent at a time has left before any outcome, so that
    /// another request may try the endpoint.
    pub(super) fn give_up(mut self, sent: runtime::Moment) -> Self {
        self.state.sent = self.state.sent.filter(|last| *last != sent);
        self
    }

    /// The endpoint is full, hence alive.
    pub(super) fn refuse(
        self,
        bounds: &pace::Bounds,
        observed: &pace::Observed,
        now: runtime::Moment,
    ) -> Pace<Rising> {
        let Probing { sent } = self.state;
        let Pace { state: rising } = Pace::rising(bounds, observed, false);
        let floor = bounds.floor();
        Pace {
            state: Rising {
                limit: floor,
                threshold: floor,
                sent,
                fell: Some(now),
                ..rising
            },
        }
    }

    /// The endpoint has answered, in whatever time.
    pub(super) fn answer(self, bounds: &pace::Bounds, observed: &pace::Observed) -> Pace<Rising> {
        let Probing { .. } = self.state;
        Pace::rising(bounds, observed, false)
    }

    pub(super) const fn close(self, until: runtime::Moment, asked: bool) -> Pace<Closed> {
        let Probing { .. } = self.state;
        Pace::closed(until, asked)
    }

    pub(super) const fn leave(self) -> Pace<Leaving> {
        let Probing { .. } = self.state;
        Pace { state: Leaving }
    }
}

impl Pace<Rising> {
    fn rising(bounds: &pace::Bounds, observed: &pace::Observed, asked: bool) -> Self {
        let limit = bounds.start().get().max(f64::from(observed.waiting));
        Self {
            state: Rising {
                limit: pace::Limit::clamped(limit),
                threshold: pace::Limit::clamped(f64::INFINITY),
                usual: observed.usual,
                late: 0,
                sent: None,
                fell: None,
                asked,
            },
        }
    }

    pub(super) const fn limit(&self) -> pace::Limit {
        self.state.limit
    }

    pub(super) const fn usual(&self) -> Option<Duration> {
        self.state.usual
    }

    /// Whether the endpoint returns from a pause that it has asked for.
    pub(super) const fn is_asked(&self) -> bool {
        self.state.asked
    }

    /// Whether the last answer was late.
    pub(super) const fn is_held(&self) -> bool {
        self.state.late > 0
    }

    fn expected(&self) -> Duration {
        self.state.usual.unwrap_or_default().max(MIN_USUAL)
    }

    /// Time at which another request is expected to be allowed; `None` if one is now.
    pub(super) fn next(&self, waiting: u32, now: runtime::Moment) -> Option<runtime::Moment> {
        let Rising { limit, sent, .. } = self.state;
        let floor = limit.get().max(f64::EPSILON);
        let interval = Duration::try_from_secs_f64(self.expected().as_secs_f64() / floor)
            .map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL));
        if !limit.admits(waiting) {
            return Some(now.saturating_add(interval.min(self.expected()).max(MIN_INTERVAL)));
        }
        // A share of less than one request is one request at times.
        let next = sent.map(|sent| sent.saturating_add(interval));
        next.filter(|next| limit.get() < 1.0 && now < *next)
    }

    /// Whether an idle endpoint is due for another request, although its last answers took
    /// so long.
    pub(super) fn is_trial_due(&self, wait: Duration, now: runtime::Moment) -> bool {
        let is_idle = |sent| now.saturating_since(sent) >= wait * IDLE_FACTOR;
        self.state.sent.is_none_or(is_idle)
    }

    pub(super) const fn send(mut self, now: runtime::Moment) -> Self {
        self.state.sent = Some(now);
        self
    }

    pub(super) fn answer(mut self, answer: &Answer, bounds: &pace::Bounds) -> Step {
        let usual = *self.state.usual.get_or_insert(answer.wait);
        let limit = self.state.limit.get();
        let additive = 1.0 / limit.max(1.0);
        if answer.wait > usual.max(MIN_USUAL).mul_f64(LATE_FACTOR) {
            self.state.late = self.state.late.saturating_add(1);
            if self.state.late > PATIENCE {
                self.state.limit = pace::Limit::clamped(limit + additive);
            }
            return Step::Hold(self);
        }
        self.state.late = 0;
        let step = if self.state.limit < self.state.threshold {
            1.0
        } else {
            additive
        };
        // What the endpoint carries already, by the requests of all entries, is proven.
        let running = f64::from(answer.load.map_or(0, |load| load.running));
        let proven = bounds.part(running * 2.0).get();
        let proven = if running > 1.0 { proven } else { 0.0 };
        self.state.limit = pace::Limit::clamped((limit + step).max(proven));
        let is_usual = answer.wait <= usual.max(MIN_USUAL).mul_f64(USUAL_FACTOR);
        let is_loaded = running >= bounds.slots() || self.state.limit >= bounds.full();
        if is_usual && is_loaded {
            return Step::Full(Pace { state: Full });
        }
        Step::Up(self)
    }

    /// Lowers the limit, once for the requests of a round; `None` if it fell just before.
    pub(super) fn fall(mut self, bounds: &pace::Bounds, now: runtime::Moment) -> Option<Self> {
        let same_round = |fell: runtime::Moment| now.saturating_since(fell) < self.expected();
        if self.state.fell.is_some_and(same_round) {
            return None;
        }
        let lowered = self.state.limit.get() * DECREASE;
        let limit = pace::Limit::clamped(lowered.max(bounds.floor().get()));
        self.state.limit = limit;
        self.state.threshold = limit;
        self.state.fell = Some(now);
        Some(self)
    }

    pub(super) const fn close(self, until: runtime::Moment, asked: bool) -> Pace<Closed> {
        let Rising { .. } = self.state;
        Pace::closed(until, asked)
    }

    pub(super) const fn leave(self) -> Pace<Leaving> {
        let Rising { .. } = self.state;
        Pace { state: Leaving }
    }
}
