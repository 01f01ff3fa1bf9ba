//! Which model runs first on a route, and which answers are kept.

use crate::balance;
use crate::ids;

/// Confidence below which an answer of a smaller model is dropped while the
/// caller has nothing of it.
const MIN_CONFIDENCE: f64 = 0.5;
/// Pressure up to which the service has room for all second runs.
const EASY: f64 = 0.4;
/// Pressure from which there is no second run: a larger model takes several
/// times the work of a smaller one, with which more callers are served in time.
const FULL: f64 = 1.2;

/// Ranks by which a run of a larger model stands behind one of the smallest.
/// It takes several times the work, and short work first shortens the wait of
/// all; the contract's routes and teams use ranks 0 to 2.
const LARGER_RANKS: u8 = 3;
/// The last rank that an engine knows.
const LAST_RANK: u8 = 9;

/// What to do with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Keep it.
    Keep,
    /// Drop it and run the model with this index.
    Escalate(usize),
}

/// The models of one route, smallest first.
#[derive(Clone, Copy, Debug)]
pub struct Ladder<'a> {
    models: &'a [ids::ModelName],
}

impl<'a> Ladder<'a> {
    /// The models of a route.
    #[must_use]
    pub const fn new(models: &'a [ids::ModelName]) -> Self {
        Self { models }
    }

    /// The model with an index; `None` on a route without models.
    #[must_use]
    pub fn model(&self, index: usize) -> Option<&'a ids::ModelName> {
        self.models.get(index)
    }

    /// Rank at an engine of a run of the model with an index, for a request of
    /// this priority; 0 goes first. A stream that goes on after a break keeps
    /// its priority, as its caller waits in the middle of it.
    #[must_use]
    pub fn rank(index: usize, priority: u8, resumes: bool) -> u8 {
        let behind = if index > 0 && !resumes {
            LARGER_RANKS
        } else {
            0
        };
        priority.saturating_add(behind).min(LAST_RANK)
    }

    /// Judges an answer by the model's own confidence and by how busy the
    /// service is.
    #[must_use]
    pub fn judge(
        &self,
        index: usize,
        confidence: Option<f64>,
        pressure: balance::Pressure,
    ) -> Step {
        let largest = self.models.len().saturating_sub(1);
        let room = ((FULL - pressure.get()) / (FULL - EASY)).clamp(0.0, 1.0);
        match confidence {
            Some(confidence) if confidence < MIN_CONFIDENCE * room && index < largest => {
                Step::Escalate(largest)
            }
            _ => Step::Keep,
        }
    }
}
