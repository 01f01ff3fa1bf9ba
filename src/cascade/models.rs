//! The models of a route and the decision between keeping and escalating an answer.

use std::time::Duration;

use crate::balance;
use crate::ids;

/// Confidence below which an answer of a smaller model is discarded, before any
/// of it is sent to the caller.
const MIN_CONFIDENCE: f64 = 0.5;
/// Pressure up to which the service has capacity for every escalation.
const FULL_ESCALATION_PRESSURE: f64 = 0.3;
/// Pressure from which nothing is escalated. A larger model takes several times
/// the work of a smaller one, and that work serves more callers in time.
const NO_ESCALATION_PRESSURE: f64 = 1.0;

/// Expected begin of the larger model's answer, as a fraction of the objective, up to
/// which an escalation is worth as much as the answer.
const FULL_ESCALATION_LATENESS: f64 = 0.9;
/// The same, from which a late answer is worth less than one of low confidence.
const NO_ESCALATION_LATENESS: f64 = 1.3;
/// Expected end of the larger model's answer, as a fraction of the time limit, up to which
/// an escalation is worth as much as the answer. It is above 1, since callers often misjudge
/// the length of the answer, and that of the smaller model is on standby.
const FULL_ESCALATION_END: f64 = 1.5;
/// The same, from which nothing is escalated.
const NO_ESCALATION_END: f64 = 3.0;
/// Weight of the pressure for each rank of priority below the highest.
const PRIORITY_PRESSURE: f64 = 0.5;

/// Ranks by which an attempt of a larger model is queued behind one of the
/// smallest. It takes several times the work, and executing short work first
/// reduces the mean wait. The contract's routes and teams use ranks 0 to 2.
const ESCALATION_RANK_OFFSET: u8 = 3;
/// Highest rank, i.e. lowest priority, that an engine accepts.
const MAX_RANK: u8 = 9;

/// Decision about an answer of a smaller model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Return the answer to the caller.
    Keep,
    /// Discard the answer and use the model with this index.
    Escalate(usize),
}

/// What is known about an answer of the largest model before it is requested.
#[derive(Clone, Copy, Debug)]
pub struct Forecast {
    /// Expected time from the arrival of the request to the first event.
    pub begin: Duration,
    /// Expected time from the arrival to the end of the answer; equals `begin` where the
    /// length of the answer is not known.
    pub end: Duration,
    /// Latency objective for the first event.
    pub objective: Duration,
    /// Time from the arrival within which the answer must be complete.
    pub time_limit: Duration,
    /// How late the service's answers begin.
    pub pressure: balance::Pressure,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

impl Forecast {
    /// Returns the fraction of the required confidence that holds for this request, from 0
    /// to 1, and what lowers it most. It falls with the load of the service, for less urgent
    /// requests first, and where the larger model would begin or end too late.
    fn capacity(&self) -> (f64, Limit) {
        let weight = PRIORITY_PRESSURE.mul_add(f64::from(self.priority), 1.0);
        let load = self.pressure.get() * weight;
        let fraction =
            |time: Duration, limit: Duration| time.as_secs_f64() / limit.as_secs_f64().max(0.001);
        let begin = fraction(self.begin, self.objective);
        let end = fraction(self.end, self.time_limit);
        let falling = |value: f64, from: f64, to: f64| ((to - value) / (to - from)).clamp(0.0, 1.0);
        let limits = [
            (
                falling(load, FULL_ESCALATION_PRESSURE, NO_ESCALATION_PRESSURE),
                Limit::Loaded,
            ),
            (
                falling(begin, FULL_ESCALATION_LATENESS, NO_ESCALATION_LATENESS),
                Limit::BeginsLate,
            ),
            (
                falling(end, FULL_ESCALATION_END, NO_ESCALATION_END),
                Limit::EndsLate,
            ),
        ];
        let none = (1.0, Limit::None);
        limits.into_iter().fold(
            none,
            |lowest, limit| {
                if limit.0 < lowest.0 { limit } else { lowest }
            },
        )
    }

    /// Returns why an answer of a smaller model is kept although its confidence is too low;
    /// `None` for one of enough confidence.
    #[must_use]
    pub fn limit(&self, confidence: Option<f64>) -> Option<Limit> {
        let is_low = confidence.is_some_and(|confidence| confidence < MIN_CONFIDENCE);
        is_low.then(|| self.capacity().1)
    }
}

/// What holds an escalation back; the value of a metric's label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Limit {
    /// Nothing but the number of attempts.
    None,
    /// The service's answers begin late.
    Loaded,
    /// The larger model would begin after the objective.
    BeginsLate,
    /// The larger model's answer would not be complete in time.
    EndsLate,
}

/// The models of a cascade, in order of cost, cheapest first.
#[derive(Clone, Copy, Debug)]
pub struct Cascade<'a> {
    models: &'a [ids::ModelName],
}

impl<'a> Cascade<'a> {
    /// Creates the cascade of a route from its models, smallest first.
    #[must_use]
    pub const fn new(models: &'a [ids::ModelName]) -> Self {
        Self { models }
    }

    /// Returns the model with an index; `None` on a route without models.
    #[must_use]
    pub fn model(&self, index: usize) -> Option<&'a ids::ModelName> {
        self.models.get(index)
    }

    /// Index of the largest model; 0 on a route without models.
    #[must_use]
    pub fn largest(&self) -> usize {
        self.models.len().saturating_sub(1)
    }

    /// Queue rank at an engine for the model with an index and a request of this
    /// priority; 0 goes first. A resumed stream keeps its priority, as its caller
    /// waits in the middle of it.
    #[must_use]
    pub fn queue_rank(index: usize, priority: u8, resumes: bool) -> u8 {
        let offset = if index > 0 && !resumes {
            ESCALATION_RANK_OFFSET
        } else {
            0
        };
        priority.saturating_add(offset).min(MAX_RANK)
    }

    /// Decides by the model's own confidence and the load of the service. The
    /// required confidence falls linearly between the two pressure limits; an
    /// answer without a confidence is kept.
    #[must_use]
    pub fn evaluate(&self, index: usize, confidence: Option<f64>, forecast: &Forecast) -> Decision {
        let largest = self.largest();
        let (capacity, _) = forecast.capacity();
        match confidence {
            Some(confidence) if confidence < MIN_CONFIDENCE * capacity && index < largest => {
                Decision::Escalate(largest)
            }
            _ => Decision::Keep,
        }
    }
}
