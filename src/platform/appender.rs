//! Appends whose answer may be lost.

use std::collections::HashSet;
use std::hash::Hash;
use std::time::Duration;

use serde_json::Value;

use crate::ids;
use crate::platform;

/// Appends to one stream.
///
/// After an append of unknown outcome, [`Self::settle`] reads the stream
/// forward, and only what it does not find is appended again.
#[derive(Debug)]
pub struct Appender {
    log: platform::LogClient,
    stream: platform::Stream,
    /// No record of this appender lies before it that has not been told of.
    end: Option<ids::Offset>,
    /// Whether an append since the last successful one may have taken effect.
    unsure: bool,
}

impl Appender {
    /// An appender to `stream`, whose end is read before the first append.
    #[must_use]
    pub const fn new(log: platform::LogClient, stream: platform::Stream) -> Self {
        Self {
            log,
            stream,
            end: None,
            unsure: false,
        }
    }

    /// An appender of records that cannot lie before `from`.
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
            unsure: false,
        }
    }

    /// Whether an append since the last successful one may have taken effect.
    #[must_use]
    pub const fn is_unsure(&self) -> bool {
        self.unsure
    }

    /// Appends records in order.
    pub async fn append(&mut self, records: &[Value]) -> Result<(), platform::PlatformError> {
        if self.end.is_none() {
            self.end = Some(self.read(ids::Offset(0)).await?.end);
        }
        let was_unsure = self.unsure;
        // Also holds where this future is dropped before the answer comes.
        self.unsure = true;
        match self.log.append(self.stream, records).await {
            Ok(append) => {
                let end = append.first.0.saturating_add(records.len() as u64);
                self.end = Some(ids::Offset(end));
                self.unsure = false;
                Ok(())
            }
            Err(err) => {
                self.unsure = was_unsure || err.may_have_taken_effect();
                Err(err)
            }
        }
    }

    /// Where an append may have taken effect, reads all records since the last
    /// known end and returns what `identity` makes of them; otherwise nothing.
    pub async fn settle<T: Eq + Hash>(
        &mut self,
        identity: impl Fn(&Value) -> Option<T>,
    ) -> Result<HashSet<T>, platform::PlatformError> {
        let mut found = HashSet::new();
        if !self.unsure {
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
