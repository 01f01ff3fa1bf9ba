//! Request fingerprints that were in flight when endpoints crashed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids;

/// Number of crashes from which a fingerprint is refused. The first may be
/// coincidence, and a third endpoint must not be lost.
const QUARANTINE_THRESHOLD: u32 = 2;
/// Time after the last crash for which a fingerprint is kept.
const RETENTION: Duration = Duration::from_hours(1);

/// Degree of suspicion against a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// Not involved in a crash within the retention.
    Clear,
    /// Involved in one crash: executed in isolation, and not retried after another.
    Suspect,
    /// Involved in enough crashes to be refused.
    Quarantined,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    incidents: u32,
    last_crash: Instant,
}

/// All suspected fingerprints; a pure function of the crash reports and completions applied.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    rows: HashMap<ids::Fingerprint, Row>,
}

impl Quarantine {
    /// Counts a crash against all requests that were in flight at the endpoint.
    pub fn count_crash(
        &mut self,
        in_flight: impl IntoIterator<Item = ids::Fingerprint>,
        now: Instant,
    ) {
        for fingerprint in in_flight {
            let row = self.rows.entry(fingerprint).or_insert(Row {
                incidents: 0,
                last_crash: now,
            });
            row.incidents += 1;
            row.last_crash = now;
        }
    }

    /// Clears a suspect whose request was answered; a quarantined one stays.
    pub fn completed(&mut self, fingerprint: ids::Fingerprint) {
        if self
            .rows
            .get(&fingerprint)
            .is_some_and(|row| row.incidents < QUARANTINE_THRESHOLD)
        {
            self.rows.remove(&fingerprint);
        }
    }

    /// Removes fingerprints that exceeded their retention; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.rows.len();
        self.rows
            .retain(|_, row| now.saturating_duration_since(row.last_crash) < RETENTION);
        self.rows.len() != before
    }

    /// Returns how far a fingerprint is suspected.
    #[must_use]
    pub fn suspicion(&self, fingerprint: ids::Fingerprint) -> Suspicion {
        match self.rows.get(&fingerprint) {
            None => Suspicion::Clear,
            Some(row) if row.incidents < QUARANTINE_THRESHOLD => Suspicion::Suspect,
            Some(_) => Suspicion::Quarantined,
        }
    }

    /// Number of suspected and quarantined fingerprints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no fingerprint is suspected or quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
