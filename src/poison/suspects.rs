//! Requests whose endpoints have crashed, for entries that have no process
//! beside the endpoints to tell them what was in flight.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::ids;
use crate::runtime;

/// Endpoints that a request may crash before it is refused; the contract counts
/// retries from the third crash on.
const MAX_CRASHED: usize = 3;
/// Crashed endpoints of one request that are told to other entries: one alone
/// is mostly chance, and each report is paid for.
const MIN_TOLD: usize = 2;
/// Time after the last crash for which a request is remembered; far longer than
/// callers try again, and short enough for an innocent one.
const MEMORY: Duration = Duration::from_secs(30);
/// Requests remembered; about 200 bytes each. The oldest go first.
const MAX_ROWS: usize = 1_000;

/// A request with the endpoints that crashed under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request's team and content.
    pub fingerprint: ids::Fingerprint,
    /// The endpoints; none where the request is cleared.
    pub endpoints: BTreeSet<ids::EndpointId>,
}

#[derive(Clone, Debug)]
struct Row {
    endpoints: BTreeSet<ids::EndpointId>,
    last: runtime::Moment,
    /// Endpoints that are on record for all entries.
    told: BTreeSet<ids::EndpointId>,
}

/// All requests under suspicion; a pure function of what was reported.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    rows: HashMap<ids::Fingerprint, Row>,
}

impl Suspects {
    /// An endpoint has crashed under the request.
    pub fn crashed(
        &mut self,
        fingerprint: ids::Fingerprint,
        endpoint: ids::EndpointId,
        now: runtime::Moment,
    ) {
        let row = self.row(fingerprint, now);
        row.endpoints.insert(endpoint);
        row.last = now;
    }

    /// Takes what another entry has put on record.
    pub fn reported(&mut self, report: &CrashReport, now: runtime::Moment) {
        if report.endpoints.is_empty() {
            self.rows.remove(&report.fingerprint);
            return;
        }
        let row = self.row(report.fingerprint, now);
        row.endpoints.extend(report.endpoints.iter().cloned());
        row.told.extend(report.endpoints.iter().cloned());
        row.last = now;
    }

    fn row(&mut self, fingerprint: ids::Fingerprint, now: runtime::Moment) -> &mut Row {
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&fingerprint) {
            let oldest = self.rows.iter().min_by_key(|(_, row)| row.last);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.rows.remove(&oldest);
            }
        }
        self.rows.entry(fingerprint).or_insert_with(|| Row {
            endpoints: BTreeSet::new(),
            last: now,
            told: BTreeSet::new(),
        })
    }

    /// The request was answered, so it has crashed nothing. Returns what other
    /// entries must be told.
    pub fn answered(&mut self, fingerprint: ids::Fingerprint) -> Option<CrashReport> {
        self.forget(fingerprint)
    }

    fn forget(&mut self, fingerprint: ids::Fingerprint) -> Option<CrashReport> {
        let row = self.rows.remove(&fingerprint)?;
        (!row.told.is_empty()).then_some(CrashReport {
            fingerprint,
            endpoints: BTreeSet::new(),
        })
    }

    /// What other entries do not know yet; counts as told from here on.
    pub fn take_untold(&mut self) -> Vec<CrashReport> {
        let untold = self.rows.iter_mut().filter(|(_, row)| {
            row.endpoints.len() >= MIN_TOLD && row.endpoints.len() > row.told.len()
        });
        let told = untold.map(|(fingerprint, row)| {
            row.told.clone_from(&row.endpoints);
            CrashReport {
                fingerprint: *fingerprint,
                endpoints: row.endpoints.clone(),
            }
        });
        told.collect()
    }

    fn is_old(row: &Row, now: runtime::Moment) -> bool {
        now.since(row.last) >= MEMORY
    }

    /// Whether something is older than the memory.
    #[must_use]
    pub fn has_old(&self, now: runtime::Moment) -> bool {
        self.rows.values().any(|row| Self::is_old(row, now))
    }

    /// Forgets what is older than the memory. Returns what other entries must be told.
    pub fn expire(&mut self, now: runtime::Moment) -> Vec<CrashReport> {
        let old = self.rows.iter().filter(|(_, row)| Self::is_old(row, now));
        let old: Vec<_> = old.map(|(fingerprint, _)| *fingerprint).collect();
        old.into_iter()
            .filter_map(|fingerprint| self.forget(fingerprint))
            .collect()
    }

    /// Whether the request must not run any more.
    #[must_use]
    pub fn is_refused(&self, fingerprint: ids::Fingerprint) -> bool {
        let row = self.rows.get(&fingerprint);
        row.is_some_and(|row| row.endpoints.len() >= MAX_CRASHED)
    }

    /// Whether some crash of the request is remembered.
    #[must_use]
    pub fn contains(&self, fingerprint: ids::Fingerprint) -> bool {
        self.rows.contains_key(&fingerprint)
    }

    /// Whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
