//! How often the topics of the store are read.

use std::time::Duration;

use crate::direct;
use crate::settings;

/// Longest wait of a read of the operator's records. A read proves the
/// configuration current only as of its start, so this bounds the age of the proof.
const OPERATOR_WAIT: Duration = Duration::from_millis(1_500);
/// The same as a part of the bound on withdrawn keys: when the store goes away,
/// keys are taken for the rest of the bound, and the age of the last proof is lost.
const OPERATOR_WAIT_PART: f64 = 0.25;
/// Longest wait of a read of endpoints. A read that hangs in an outage is only
/// given up after its wait, and drains must be known soon after the outage.
const ENDPOINT_WAIT: Duration = Duration::from_secs(1);
/// Longest wait of a read of reports. News end the wait; one that hangs in an
/// outage is over within the time in which a bad version must be left.
const REPORT_WAIT: Duration = Duration::from_secs(5);
/// Pause after a read of endpoints, as a part of the bound on drains: each of
/// them reports every second or so, and reading every report by itself would
/// cost a call for each.
const ENDPOINT_PAUSE_PART: f64 = 0.35;

/// How often a topic is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Longest wait of a read for news.
    pub wait: Duration,
    /// Pause after a read that has brought news.
    pub pause: Duration,
}

impl Pace {
    /// As often as the bounds of the deployment ask, and no more: each read is paid for.
    #[must_use]
    pub fn new(source: direct::Source, bounds: &settings::Bounds) -> Self {
        let (wait, pause) = match source {
            direct::Source::Operator => {
                let most = bounds
                    .revoke
                    .map(|revoke| revoke.duration().mul_f64(OPERATOR_WAIT_PART));
                let wait = most.map_or(OPERATOR_WAIT, |most| most.min(OPERATOR_WAIT));
                (wait, Duration::ZERO)
            }
            direct::Source::Endpoints => (
                ENDPOINT_WAIT,
                bounds.drain.duration().mul_f64(ENDPOINT_PAUSE_PART),
            ),
            direct::Source::Reports => (REPORT_WAIT, Duration::ZERO),
        };
        Self { wait, pause }
    }
}
