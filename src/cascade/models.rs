//! The models of a route and the decision between keeping and escalating an answer.

use crate::balance;
use crate::ids;

/// Confidence below which an answer of a smaller model is discarded, before any
/// of it is sent to the caller.
const MIN_CONFIDENCE: f64 = 0.5;
/// Pressure up to which the service has capacity for every escalation.
const FULL_ESCALATION_PRESSURE: f64 = 0.4;
/// Pressure from which nothing is escalated. A larger model takes several times
/// the work of a smaller one, and that work serves more callers in time.
const NO_ESCALATION_PRESSURE: f64 = 1.2;

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
    pub fn evaluate(
        &self,
        index: usize,
        confidence: Option<f64>,
        pressure: balance::Pressure,
    ) -> Decision {
        let largest = self.models.len().saturating_sub(1);
        let capacity = ((NO_ESCALATION_PRESSURE - pressure.get())
            / (NO_ESCALATION_PRESSURE - FULL_ESCALATION_PRESSURE))
            .clamp(0.0, 1.0);
        match confidence {
            Some(confidence) if confidence < MIN_CONFIDENCE * capacity && index < largest => {
                Decision::Escalate(largest)
            }
            _ => Decision::Keep,
        }
    }
}
