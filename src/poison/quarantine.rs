//! Fingerprints seen in crashes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids;

/// Crashes after which a fingerprint is refused: the first may be chance,
/// a third endpoint must not be lost.
const MAX_INCIDENTS: u32 = 2;
/// Time after the last crash for which a fingerprint is remembered.
const MEMORY: Duration = Duration::from_hours(1);

/// What is known of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// Not seen in a crash.
    Clear,
    /// Seen in one crash: isolated, and not retried after another.
    Suspect,
    /// Seen in enough crashes to be refused.
    Quarantined,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    incidents: u32,
    last: Instant,
}

/// All fingerprints under suspicion; a pure function of the crash reports and completions applied.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    cases: HashMap<ids::Fingerprint, Case>,
}

impl Quarantine {
    /// Counts a crash against all requests that were in flight.
    pub fn crashed(&mut self, in_flight: impl IntoIterator<Item = ids::Fingerprint>, now: Instant) {
        for fingerprint in in_flight {
            let case = self.cases.entry(fingerprint).or_insert(Case {
                incidents: 0,
                last: now,
            });
            case.incidents += 1;
            case.last = now;
        }
    }

    /// Clears a suspect that has been answered; a quarantined one stays.
    pub fn completed(&mut self, fingerprint: ids::Fingerprint) {
        if self
            .cases
            .get(&fingerprint)
            .is_some_and(|case| case.incidents < MAX_INCIDENTS)
        {
            self.cases.remove(&fingerprint);
        }
    }

    /// Drops what is older than the memory. Returns whether something was dropped.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.cases.len();
        self.cases
            .retain(|_, case| now.saturating_duration_since(case.last) < MEMORY);
        self.cases.len() != before
    }

    /// What is known of a fingerprint.
    #[must_use]
    pub fn suspicion(&self, fingerprint: ids::Fingerprint) -> Suspicion {
        match self.cases.get(&fingerprint) {
            None => Suspicion::Clear,
            Some(case) if case.incidents < MAX_INCIDENTS => Suspicion::Suspect,
            Some(_) => Suspicion::Quarantined,
        }
    }

    /// Number of fingerprints remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Whether no fingerprint is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }
}
