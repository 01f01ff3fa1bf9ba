//! Speed at which a service's engines read prompts, learned from their answers.

use std::time::Duration;

use crate::units;

/// Speed that is assumed before the first answer, in tokens per second: that of a large
/// model, so that a long silence is not taken for a failure.
const DEFAULT_SPEED: f64 = 15_000.0;
/// Minimum number of tokens from which the time to first byte tells the speed; shorter
/// prompts take less time to read than to wait for a batch.
const MIN_TOKENS: units::Tokens = units::Tokens(800);
/// Weight of an answer that was faster than the estimate.
const FASTER_WEIGHT: f64 = 0.06;
/// Weight of a slower answer. It is lower, since a slow answer may have waited in a
/// queue: the estimate approaches the time of the fastest quarter.
const SLOWER_WEIGHT: f64 = 0.02;

/// Reading speed of each model of a service.
#[derive(Clone, Debug, Default)]
pub struct ReadingSpeed {
    /// Seconds for each token, by index of the model; `None` before the first answer.
    seconds_per_token: Vec<Option<f64>>,
}

impl ReadingSpeed {
    /// Records an answer of a model that began `first` after the request was sent, to a
    /// prompt of which the endpoint had to read `unread` tokens.
    pub fn record(&mut self, model: usize, unread: units::Tokens, first: Duration) {
        if unread < MIN_TOKENS {
            return;
        }
        if self.seconds_per_token.len() <= model {
            self.seconds_per_token.resize(model + 1, None);
        }
        #[allow(clippy::cast_precision_loss)]
        let sample = first.as_secs_f64() / unread.0 as f64;
        let estimate = &mut self.seconds_per_token[model];
        *estimate = Some(match *estimate {
            None => sample,
            Some(known) if sample < known => FASTER_WEIGHT.mul_add(sample - known, known),
            Some(known) => SLOWER_WEIGHT.mul_add(sample - known, known),
        });
    }

    /// Returns the speed of a model in tokens per second.
    #[must_use]
    pub fn get(&self, model: usize) -> units::Rate {
        let known = self.seconds_per_token.get(model).copied().flatten();
        units::Rate::clamped(known.map_or(DEFAULT_SPEED, |seconds| 1.0 / seconds.max(1e-6)))
    }
}
