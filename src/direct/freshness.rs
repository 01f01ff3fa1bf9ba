//! How current the configuration is known to be.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::runtime;

/// Start of the last read that proved the configuration current. Shared with
/// traffic, which must refuse keyed requests once it is too long ago.
#[derive(Debug, Default)]
pub struct Freshness(AtomicU64);

impl Freshness {
    /// Records a proof; an older one changes nothing.
    pub fn prove(&self, asked: runtime::Moment) {
        self.0.fetch_max(asked.as_millis(), Ordering::AcqRel);
    }

    /// Age of the proof; `None` where there is none.
    #[must_use]
    pub fn age(&self, now: runtime::Moment) -> Option<Duration> {
        let proven = self.0.load(Ordering::Acquire);
        (proven > 0).then(|| now.since(runtime::Moment::from_millis(proven)))
    }
}
