//! Appends to a stream without duplicates where a response may be lost.

use std::collections::HashSet;
use std::hash::Hash;
use std::time::Duration;

use serde_json::Value;

use crate::ids;
use crate::platform;

/// Appends records to one stream.
///
/// After an append of unknown outcome, the caller uses [`Self::reconcile`] to find
/// which records the stream holds, and appends only the others again.
#[derive(Debug)]
pub struct Appender {
    log: platform::LogClient,
    stream: platform::Stream,
    /// Offset before which no record of this appender is still unreported;
    /// `None` until the end of the stream has been read.
    end: Option<ids::Offset>,
    /// Whether an append since the last successful one may have taken effect.
    outcome_unknown: bool,
}

impl Appender {
    /// Creates an appender to `stream`; the end of the stream is read before the first append.
    #[must_use]
    pub const fn new(log: platform::LogClient, stream: platform::Stream) -> Self {
        Self {
            log,
            stream,
            end: None,
            outcome_unknown: false,
        }
    }

    /// Creates an appender to `stream` whose records cannot lie before `from`.
    #[must_use]
    pub const fn starting_at(
        log: platform::LogClient,
        stream: platform::Stream,
        from: ids::Offset,
    ) -> Self {
        Self {
            log,
            stream,
            end: Some(from),
            outcome_unknown: false,
        }
    }

    /// Returns whether an append since the last successful one may have taken effect.
    #[must_use]
    pub const fn is_outcome_unknown(&self) -> bool {
        self.outcome_unknown
    }

    /// Appends records in order, all or none.
    pub async fn append(&mut self, records: &[Value]) -> Result<(), platform::PlatformError> {
        if self.end.is_none() {
            self.end = Some(self.read(ids::Offset(0)).await?.end);
        }
        let was_unknown = self.outcome_unknown;
        // Set before the call, so that it also holds if this future is dropped
        // before the response arrives.
        self.outcome_unknown = true;
        match self.log.append(self.stream, records).await {
            Ok(append) => {
                let end = append.first.0.saturating_add(records.len() as u64);
                self.end = Some(ids::Offset(end));
                self.outcome_unknown = false;
                Ok(())
            }
            Err(err) => {
                self.outcome_unknown = was_unknown || err.may_have_taken_effect();
                Err(err)
            }
        }
    }

    /// Reads all records since the last known end and returns the identities that
    /// `identity` extracts from them. Returns an empty set without a read where
    /// no append has an unknown outcome.
    pub async fn reconcile<T: Eq + Hash>(
        &mut self,
        identity: impl Fn(&Value) -> Option<T>,
    ) -> Result<HashSet<T>, platform::PlatformError> {
        let mut found = HashSet::new();
        if !self.outcome_unknown {
            return Ok(found);
        }
        let mut next = self.end.unwrap_or_default();
        loop {
            let page = self.read(next).await?;
            found.extend(
                page.records
                    .iter()
                    .filter_map(|record| identity(&record.body)),
            );
            next = page.next_offset();
            if next >= page.end {
                break;
            }
        }
        self.end = Some(next);
        Ok(found)
    }

    async fn read(&self, from: ids::Offset) -> Result<platform::Page, platform::PlatformError> {
        self.log.read(self.stream, from, Duration::ZERO).await
    }
}
