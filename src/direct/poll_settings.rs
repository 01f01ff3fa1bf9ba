//! Polling intervals for the topics of the store.

use std::time::Duration;

use crate::direct;
use crate::settings;

/// Maximum wait of a read of the operator's topic. A read confirms the
/// configuration only as of its start, so this limits the age of the confirmation.
const OPERATOR_MAX_WAIT: Duration = Duration::from_millis(1_500);
/// The same as a fraction of the time for which revoked keys may be accepted.
/// During an outage of the store, keys are accepted only for the rest of that
/// time, which the age of the last confirmation has already reduced.
const OPERATOR_WAIT_REVOKE_FRACTION: f64 = 0.25;
/// Maximum wait of a read of the endpoints' topic. A read that hangs in an
/// outage times out only after its wait, and drains must be known soon afterwards.
const ENDPOINT_MAX_WAIT: Duration = Duration::from_secs(1);
/// Maximum wait of a read of the reports' topic. New records end the wait early,
/// and a read that hangs in an outage ends within the time allowed for leaving a
/// bad version.
const REPORT_MAX_WAIT: Duration = Duration::from_secs(5);
/// Pause after a read of the endpoints' topic, as a fraction of the drain limit.
/// Each endpoint reports about once a second, and without a pause each report
/// would cost a call of its own.
const ENDPOINT_PAUSE_DRAIN_FRACTION: f64 = 0.35;

/// Poll settings of one topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollSettings {
    /// Maximum time that a read waits for new records.
    pub wait: Duration,
    /// Pause after a read that returned records; zero for none.
    pub pause: Duration,
}

impl PollSettings {
    /// Derives the settings for a topic from the platform's limits. Reads are no
    /// more frequent than the limits require, as the platform charges for each.
    #[must_use]
    pub fn new(source: direct::Source, bounds: &settings::Bounds) -> Self {
        let (wait, pause) = match source {
            direct::Source::Operator => {
                let limit = bounds
                    .revoke
                    .map(|revoke| revoke.duration().mul_f64(OPERATOR_WAIT_REVOKE_FRACTION));
                let wait = limit.map_or(OPERATOR_MAX_WAIT, |limit| limit.min(OPERATOR_MAX_WAIT));
                (wait, Duration::ZERO)
            }
            direct::Source::Endpoints => (
                ENDPOINT_MAX_WAIT,
                bounds
                    .drain
                    .duration()
                    .mul_f64(ENDPOINT_PAUSE_DRAIN_FRACTION),
            ),
            direct::Source::Reports => (REPORT_MAX_WAIT, Duration::ZERO),
        };
        Self { wait, pause }
    }
}
