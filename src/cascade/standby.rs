//! How long an answer of a smaller model is held back for a better one.

use std::time::Duration;

/// Confidence from which an answer in time is worth more to the caller than a late one of
/// a larger model.
const MIN_CONFIDENCE_IN_TIME: f64 = 0.3;
/// Fraction of the objective, or of the time limit, after which the answer is delivered.
/// The rest is for the way to the caller.
const HELD_FRACTION: f64 = 0.9;

/// Part of the expected writing time that the larger model needs to be worth waiting for. Its
/// answer is worth several times that of a model too small, and the forecast is uncertain.
const WRITING_PART: f64 = 0.5;

/// Returns whether an answer that takes `writing` from now on may still be complete in the
/// time that is `left`, so that another one isn't delivered in its place.
#[must_use]
pub fn may_end_in_time(writing: Duration, left: Duration) -> bool {
    writing.mul_f64(WRITING_PART) <= left
}

/// Returns the time since the arrival of a request up to which the answer of a smaller
/// model is held back. An answer of some confidence is delivered within the objective;
/// another one only if the larger model has not begun when its answer, which it writes in
/// `writing`, may not end in time any more; zero if that is not known.
#[must_use]
pub fn standby_time(
    confidence: f64,
    objective: Duration,
    time_limit: Duration,
    writing: Duration,
) -> Duration {
    let held = if confidence < MIN_CONFIDENCE_IN_TIME {
        time_limit
    } else {
        objective.min(time_limit)
    };
    let last_begin = time_limit.saturating_sub(writing.mul_f64(WRITING_PART));
    held.mul_f64(HELD_FRACTION).min(last_begin)
}
