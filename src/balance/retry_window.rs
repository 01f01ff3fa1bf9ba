//! Bound on repeats in a sliding window.

use crate::runtime;
use crate::units;

/// Parts into which the window is divided.
const PARTS: usize = 10;
/// Part of the permitted ratio that is used: the rest is for requests that
/// another entry counts in a neighbouring window.
const USED_RATIO: f64 = 0.9;
/// Repeats that are allowed in any window; a small part of the slack that the
/// platform grants over all entries.
const ALWAYS: u32 = 4;

/// Part of the allowed repeats that second runs of a cascade may use: the rest
/// is for requests that would fail without a repeat.
const OPTIONAL_PART: f64 = 0.8;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    part: u64,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    ratio: f64,
    part_ms: u64,
    counts: [Counts; PARTS],
}

impl RetryWindow {
    /// A window of this length, with this many repeats for each request.
    #[must_use]
    pub fn new(ratio: f64, window: units::Millis) -> Self {
        Self {
            ratio: ratio * USED_RATIO,
            part_ms: (window.0 / PARTS as u64).max(1),
            counts: [Counts::default(); PARTS],
        }
    }

    fn counts(&mut self, now: runtime::Moment) -> &mut Counts {
        let part = now.as_millis() / self.part_ms;
        let index = usize::try_from(part % PARTS as u64).unwrap_or_default();
        let counts = &mut self.counts[index];
        if counts.part != part {
            *counts = Counts {
                part,
                ..Counts::default()
            };
        }
        counts
    }

    /// Counts a request.
    pub fn request(&mut self, now: runtime::Moment) {
        self.counts(now).requests += 1;
    }

    /// Takes a repeat without which the request fails; false where the bound
    /// is reached.
    pub fn try_repeat(&mut self, now: runtime::Moment) -> bool {
        self.try_take(now, 1.0)
    }

    /// Takes a repeat that only makes the answer better; false where the part
    /// for such repeats is used up.
    pub fn try_optional(&mut self, now: runtime::Moment) -> bool {
        self.try_take(now, OPTIONAL_PART)
    }

    fn try_take(&mut self, now: runtime::Moment, part: f64) -> bool {
        let oldest = (now.as_millis() / self.part_ms).saturating_sub(PARTS as u64 - 1);
        let (requests, repeats) = self
            .counts
            .iter()
            .filter(|counts| counts.part >= oldest)
            .fold((0, 0), |(requests, repeats), counts| {
                (requests + counts.requests, repeats + counts.repeats)
            });
        let allowed = f64::from(requests).mul_add(self.ratio, f64::from(ALWAYS));
        if f64::from(repeats) + 1.0 > allowed * part {
            return false;
        }
        self.counts(now).repeats += 1;
        true
    }
}
