//! Requests, and parts of prompts, suspected of crashing endpoints, for entries without
//! sidecars that could report what was in flight.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::ids;
use crate::poison;
use crate::runtime;

/// Number of crashed endpoints from which a request is refused; the contract
/// counts retries from the third crash on.
const REFUSAL_THRESHOLD: usize = 3;
/// Minimum number of crashed endpoints before a request is published to other entries while
/// its visits go on. A single crash is mostly coincidence, which the answer of another endpoint
/// shows soon, and the platform charges for each report.
const MIN_PUBLISHED_ENDPOINTS: usize = 2;
/// Time after which a report is written again that the store may not have taken.
const REPORT_RETRY: Duration = Duration::from_secs(1);
/// Time after the last crash, or the last refusal, for which a request is kept: far longer
/// than callers retry, and short enough for a request that did not cause the crashes.
const RETENTION: Duration = Duration::from_secs(30);
/// Time after the last report after which a refusal is reported, so that no entry forgets a
/// request that comes to another one.
const REFUSAL_REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of requests kept, at about 200 bytes each. The one with the
/// oldest crash is evicted first.
const MAX_SUSPECTS: usize = 1_000;

/// What a fingerprint stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Subject {
    /// A request with all its content.
    Request,
    /// A part of a prompt, in any request.
    PromptPart,
}

/// A request with the endpoints that crashed while executing it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Fingerprint of the request's team and content.
    pub fingerprint: ids::Fingerprint,
    /// Crashed endpoints; empty when the request is no longer suspected.
    pub endpoints: BTreeSet<ids::EndpointId>,
}

#[derive(Clone, Debug)]
struct Row {
    endpoints: BTreeSet<ids::EndpointId>,
    last_crash: runtime::Moment,
    /// Endpoints already published to other entries.
    published: BTreeSet<ids::EndpointId>,
    /// Whether this entry has seen a crash; the others are reported by those that have.
    is_own: bool,
    /// Whether a visit to this entry has ended without an answer after a crash.
    is_unanswered: bool,
    /// Time of the last report, by this entry or another.
    reported_at: runtime::Moment,
    /// Whether a refusal is to be reported.
    is_refused: bool,
    /// Time from which a report is written again that the store may not have taken; `None`
    /// where it took the last one.
    retry_at: Option<runtime::Moment>,
}

impl Row {
    fn is_due(&self, now: runtime::Moment) -> bool {
        let has_news = self.endpoints.len() > self.published.len()
            && (self.is_unanswered || self.endpoints.len() >= MIN_PUBLISHED_ENDPOINTS);
        let is_lost = self.retry_at.is_some_and(|at| now >= at);
        self.is_refused || self.is_own && (has_news || is_lost)
    }
}

/// All suspected requests; a pure function of the events applied.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    rows: HashMap<ids::Fingerprint, Row>,
}

impl Suspects {
    /// Records that an endpoint crashed while executing the request, in a visit of this stage.
    pub fn crashed(
        &mut self,
        fingerprint: ids::Fingerprint,
        endpoint: ids::EndpointId,
        stage: poison::VisitStage,
        now: runtime::Moment,
    ) {
        let row = self.row(fingerprint, now);
        row.endpoints.insert(endpoint);
        row.last_crash = now;
        row.is_own = true;
        row.is_unanswered |= stage == poison::VisitStage::Unanswered;
    }

    /// Records that a visit under which an endpoint has crashed went unanswered.
    pub fn unanswered(&mut self, fingerprint: ids::Fingerprint) {
        if let Some(row) = self.rows.get_mut(&fingerprint) {
            row.is_unanswered = true;
        }
    }

    /// Records that the request came again and was refused, so that it stays refused, also by
    /// entries to which it does not come.
    pub fn refused(&mut self, fingerprint: ids::Fingerprint, now: runtime::Moment) {
        if let Some(row) = self.rows.get_mut(&fingerprint) {
            row.last_crash = now;
            row.is_refused |= now.saturating_since(row.reported_at) >= REFUSAL_REPORT_INTERVAL;
        }
    }

    /// Merges a published report; one without endpoints removes the request.
    pub fn reported(&mut self, report: &CrashReport, now: runtime::Moment) {
        if report.endpoints.is_empty() {
            self.rows.remove(&report.fingerprint);
            return;
        }
        let row = self.row(report.fingerprint, now);
        row.endpoints.extend(report.endpoints.iter().cloned());
        row.published.extend(report.endpoints.iter().cloned());
        row.last_crash = now;
        row.reported_at = now;
        row.is_refused = false;
    }

    fn row(&mut self, fingerprint: ids::Fingerprint, now: runtime::Moment) -> &mut Row {
        if self.rows.len() >= MAX_SUSPECTS && !self.rows.contains_key(&fingerprint) {
            let oldest = self.rows.iter().min_by_key(|(_, row)| row.last_crash);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.rows.remove(&oldest);
            }
        }
        self.rows.entry(fingerprint).or_insert_with(|| Row {
            endpoints: BTreeSet::new(),
            last_crash: now,
            published: BTreeSet::new(),
            is_own: false,
            is_unanswered: false,
            reported_at: now,
            is_refused: false,
            retry_at: None,
        })
    }

    /// Removes a request that was answered and so crashed nothing. Returns the
    /// report that clears it for other entries, if it was published.
    pub fn answered(&mut self, fingerprint: ids::Fingerprint) -> Option<CrashReport> {
        self.remove_row(fingerprint)
    }

    fn remove_row(&mut self, fingerprint: ids::Fingerprint) -> Option<CrashReport> {
        let row = self.rows.remove(&fingerprint)?;
        (!row.published.is_empty()).then_some(CrashReport {
            fingerprint,
            endpoints: BTreeSet::new(),
        })
    }

    /// Records that the reports of this entry may be lost, so that they are published again.
    pub fn forget_published(&mut self) {
        let rows = self.rows.values_mut();
        for row in rows.filter(|row| row.is_own) {
            row.published.clear();
        }
    }

    /// Records that the store may not have taken the last report on the request.
    pub fn record_lost(&mut self, fingerprint: ids::Fingerprint, now: runtime::Moment) {
        if let Some(row) = self.rows.get_mut(&fingerprint) {
            row.retry_at = Some(now.saturating_add(REPORT_RETRY));
        }
    }

    /// Whether a report is to be written.
    #[must_use]
    pub fn has_unpublished(&self, now: runtime::Moment) -> bool {
        self.rows.values().any(|row| row.is_due(now))
    }

    /// Returns reports of what is not published yet and marks it as published.
    pub fn take_unpublished(&mut self, now: runtime::Moment) -> Vec<CrashReport> {
        let unpublished = self.rows.iter_mut().filter(|(_, row)| row.is_due(now));
        let reports = unpublished.map(|(fingerprint, row)| {
            row.published.clone_from(&row.endpoints);
            row.reported_at = now;
            row.is_refused = false;
            row.retry_at = None;
            CrashReport {
                fingerprint: *fingerprint,
                endpoints: row.endpoints.clone(),
            }
        });
        reports.collect()
    }

    fn is_expired(row: &Row, now: runtime::Moment) -> bool {
        now.saturating_since(row.last_crash) >= RETENTION
    }

    /// Whether any request has exceeded its retention.
    #[must_use]
    pub fn has_expired(&self, now: runtime::Moment) -> bool {
        self.rows.values().any(|row| Self::is_expired(row, now))
    }

    /// Removes requests that exceeded their retention. Returns the reports that
    /// clear the published ones; those that only other entries have seen crash are left to
    /// them, as each report is a call.
    pub fn expire(&mut self, now: runtime::Moment) -> Vec<CrashReport> {
        let expired = self
            .rows
            .iter()
            .filter(|(_, row)| Self::is_expired(row, now));
        let expired: Vec<_> = expired
            .map(|(fingerprint, row)| (*fingerprint, row.is_own))
            .collect();
        expired
            .into_iter()
            .filter_map(|(fingerprint, is_own)| self.remove_row(fingerprint).filter(|_| is_own))
            .collect()
    }

    /// Whether the request has crashed too many endpoints to be executed again.
    #[must_use]
    pub fn is_refused(&self, fingerprint: ids::Fingerprint) -> bool {
        let row = self.rows.get(&fingerprint);
        row.is_some_and(|row| row.endpoints.len() >= REFUSAL_THRESHOLD)
    }

    /// Whether the request is suspected, after one crash or more.
    #[must_use]
    pub fn contains(&self, fingerprint: ids::Fingerprint) -> bool {
        self.rows.contains_key(&fingerprint)
    }

    /// Whether no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
