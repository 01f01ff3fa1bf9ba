//! Speed at which a service's engines write answers, learned from complete ones.

use std::time::Duration;

use crate::units;

/// Weight of a new answer in the moving average.
const MEAN_WEIGHT: f64 = 0.1;

/// Writing speed of each model of a service, by the lengths that callers expect.
///
/// Callers misjudge the length, so that the speed holds for expected tokens, not for those
/// that were written.
#[derive(Clone, Debug, Default)]
pub struct WritingSpeed {
    /// Seconds for each expected token, by index of the model; `None` before the first
    /// answer.
    seconds_per_token: Vec<Option<f64>>,
}

impl WritingSpeed {
    /// Records an answer of a model, of which `expected` tokens were expected. It was written
    /// in `writing` at the usual pace of its endpoint.
    pub fn record(&mut self, model: usize, expected: units::Tokens, writing: Duration) {
        if expected == units::Tokens(0) {
            return;
        }
        if self.seconds_per_token.len() <= model {
            self.seconds_per_token.resize(model + 1, None);
        }
        #[allow(clippy::cast_precision_loss)]
        let sample = writing.as_secs_f64() / expected.0 as f64;
        let estimate = &mut self.seconds_per_token[model];
        *estimate =
            Some(estimate.map_or(sample, |known| MEAN_WEIGHT.mul_add(sample - known, known)));
    }

    /// Returns the expected time from the first token to the last; `None` before the first
    /// answer of the model.
    #[must_use]
    pub fn time(&self, model: usize, expected: units::Tokens) -> Option<Duration> {
        let known = self.seconds_per_token.get(model).copied().flatten()?;
        #[allow(clippy::cast_precision_loss)]
        let seconds = known * expected.0 as f64;
        Duration::try_from_secs_f64(seconds).ok()
    }
}
