//! Appends whose answer may be lost.

use std::collections::HashSet;
use std::time::Duration;

use serde_json::Value;

use crate::ids;
use crate::platform;

/// Appends to one stream. After an append of unknown outcome the stream is
/// read forward before anything is appended again.
#[derive(Debug)]
pub struct Appender {
    log: platform::LogClient,
    stream: platform::Stream,
    end: Option<ids::Offset>,
    unsure: bool,
}

impl Appender {
    /// An appender to `stream`.
    #[must_use]
    pub const fn new(log: platform::LogClient, stream: platform::Stream) -> Self {
        Self {
            log,
            stream,
            end: None,
            unsure: false,
        }
    }

    /// Whether the last append may have taken effect; [`Self::find`] must be
    /// called before the next one.
    #[must_use]
    pub const fn is_unsure(&self) -> bool {
        self.unsure
    }

    /// Appends records in order.
    pub async fn append(&mut self, records: &[Value]) -> Result<(), platform::PlatformError> {
        if self.end.is_none() {
            let page = self.read(ids::Offset(0)).await?;
            self.end = Some(page.end);
        }
        match self.log.append(self.stream, records).await {
            Ok(append) => {
                let end = append.first.0.saturating_add(records.len() as u64);
                self.end = Some(ids::Offset(end));
                Ok(())
            }
            Err(err) => {
                self.unsure = matches!(err, platform::PlatformError::Unknown(_));
                Err(err)
            }
        }
    }

    /// Reads all records since the last known end and returns which of `wanted`
    /// are among them, told by `identity`.
    pub async fn find(
        &mut self,
        wanted: &HashSet<String>,
        identity: impl Fn(&Value) -> String,
    ) -> Result<HashSet<String>, platform::PlatformError> {
        let mut found = HashSet::new();
        let mut next = self.end.unwrap_or_default();
        loop {
            let page = self.read(next).await?;
            let ids = page.records.iter().map(|record| identity(&record.body));
            found.extend(ids.filter(|id| wanted.contains(id)));
            next = page
                .records
                .last()
                .map_or(page.end, |record| record.offset.next());
            if next >= page.end {
                break;
            }
        }
        self.end = Some(next);
        self.unsure = false;
        Ok(found)
    }

    async fn read(&self, from: ids::Offset) -> Result<platform::Page, platform::PlatformError> {
        self.log.read(self.stream, from, Duration::ZERO).await
    }
}
