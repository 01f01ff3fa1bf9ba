//! Time limits on following a reader.

use std::time::Duration;

use crate::direct;
use crate::runtime;
use crate::settings;

/// Maximum wait of a read of the operator's topic by a reader.
const OPERATOR_WAIT: Duration = Duration::from_millis(750);
/// Maximum wait of a read of the reports' topic by a reader.
const REPORT_WAIT: Duration = Duration::from_secs(2);
/// Maximum wait of a read of the endpoints' topic by a reader, as a fraction of the drain
/// limit. With the pause between reads it stays below [`ENDPOINT_AGE`].
const ENDPOINT_WAIT: f64 = 0.2;
/// Maximum age of the endpoints at a follower, as a fraction of the drain limit. The rest is
/// for a read of its own and the transit of a request.
const ENDPOINT_AGE: f64 = 0.6;
/// Maximum age of the configuration at a follower, as a fraction of the time for which
/// revoked keys may be accepted. The rest is for a read of its own.
const OPERATOR_AGE_REVOKE_FRACTION: f64 = 1.0 / 3.0;
/// Time beyond the reader's wait within which its answer arrives: a call of the store, and
/// a message.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Time limits for one topic, derived from the limits of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowLimits {
    /// Maximum wait of the reader's own reads.
    pub reader_wait: Duration,
    /// Maximum time from a poll to its answer.
    pub answer: Duration,
    /// Maximum time since the store confirmed what the follower knows.
    pub age: Duration,
}

impl FollowLimits {
    /// Derives the limits for a topic.
    #[must_use]
    pub fn new(source: direct::Source, bounds: &settings::Bounds) -> Self {
        let poll = direct::PollSettings::new(source, bounds);
        let wait = match source {
            direct::Source::Operator => OPERATOR_WAIT,
            direct::Source::Endpoints => bounds.drain.duration().mul_f64(ENDPOINT_WAIT),
            direct::Source::Reports => REPORT_WAIT,
        };
        let reader_wait = poll.wait.min(wait);
        let answer = poll.pause + reader_wait + ANSWER_MARGIN;
        let age = match source {
            direct::Source::Endpoints => bounds.drain.duration().mul_f64(ENDPOINT_AGE),
            direct::Source::Operator => {
                let limit = bounds
                    .revoke
                    .map(|revoke| revoke.duration().mul_f64(OPERATOR_AGE_REVOKE_FRACTION));
                let usual = reader_wait + answer;
                limit.map_or(usual, |limit| limit.min(usual))
            }
            direct::Source::Reports => reader_wait + answer,
        };
        Self {
            reader_wait,
            answer,
            age,
        }
    }

    /// Returns when a poll that begins at `now` must be answered, where the store confirmed at
    /// `confirmed` what is known. The first poll after a read is answered at once, whatever
    /// the time for which that read has waited.
    #[must_use]
    pub fn deadline(
        &self,
        now: runtime::Moment,
        confirmed: runtime::Moment,
        is_first: bool,
    ) -> runtime::Moment {
        if is_first {
            return now.saturating_add(ANSWER_MARGIN);
        }
        now.saturating_add(self.answer)
            .min(confirmed.saturating_add(self.age))
    }
}
