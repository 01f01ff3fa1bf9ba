//! Searches the log for the usage record of a request.

use std::time::{Duration, Instant};

use crate::billing;
use crate::errors;
use crate::ids;
use crate::platform;
use crate::runtime;
use crate::units;

/// Time limit of a search, since an operator waits for it.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of pages that a search reads; at 500 records each, 100,000 records.
const MAX_PAGES: u32 = 200;

/// Returns the first record of the request in the `usage` stream, which is the
/// one that counts. Fails where there is none or the search exceeds its limits.
pub async fn find(
    log: &platform::LogClient,
    request: ids::RequestId,
) -> Result<billing::UsageRecord, errors::Refusal> {
    let search = Search {
        log,
        request,
        pages_left: MAX_PAGES,
    };
    runtime::timeout_at(Instant::now() + SEARCH_TIMEOUT, search.run())
        .await
        .unwrap_or_else(|| Err(search_incomplete(request)))
}

/// A search through the `usage` stream, limited by pages.
struct Search<'a> {
    log: &'a platform::LogClient,
    request: ids::RequestId,
    pages_left: u32,
}

impl Search<'_> {
    async fn run(mut self) -> Result<billing::UsageRecord, errors::Refusal> {
        let first = self.page(ids::Offset(0)).await?;
        let begin = first.first_retained;
        let made_at = self.request.arrived_at();
        let start = match made_at {
            Some(made_at) => self.first_offset_at(made_at, begin, first.end).await?,
            None => begin,
        };
        if let Some(record) = self.scan(start, first.end).await? {
            return Ok(record);
        }
        // The clocks of VMs differ, so the record may lie before `start`.
        if let Some(record) = self.scan(begin, start).await? {
            return Ok(record);
        }
        let oldest = first.records.iter().find_map(ended_at);
        let is_older = made_at
            .zip(oldest)
            .is_some_and(|(made, oldest)| made < oldest);
        let reason = if begin > ids::Offset(0) && is_older {
            "the record has expired"
        } else {
            "the request has not ended, never ran, or was answered from a record"
        };
        Err(errors::Refusal::new(
            errors::ResultCode::UnknownObject,
            format!("no usage record of request {}: {reason}", self.request),
        ))
    }

    /// Returns the offset at which records of requests that ended at `time` or later
    /// begin, by binary search; approximate, since records are not strictly ordered by time.
    async fn first_offset_at(
        &mut self,
        time: units::Millis,
        begin: ids::Offset,
        end: ids::Offset,
    ) -> Result<ids::Offset, errors::Refusal> {
        let (mut low, mut high) = (begin, end);
        while low < high {
            let middle = ids::Offset(low.0 + (high.0 - low.0) / 2);
            let page = self.page(middle).await?;
            if page
                .records
                .iter()
                .filter_map(ended_at)
                .any(|at| at >= time)
            {
                high = middle;
            } else {
                low = page.next_offset().max(middle.next());
            }
        }
        Ok(low.min(end))
    }

    async fn scan(
        &mut self,
        mut from: ids::Offset,
        until: ids::Offset,
    ) -> Result<Option<billing::UsageRecord>, errors::Refusal> {
        while from < until {
            let page = self.page(from).await?;
            from = page.next_offset();
            let request = self.request;
            let found = page
                .records
                .into_iter()
                .find(|record| billing::request_of(&record.body) == Some(request))
                .and_then(|record| serde_json::from_value(record.body).ok());
            if found.is_some() {
                return Ok(found);
            }
        }
        Ok(None)
    }

    async fn page(&mut self, from: ids::Offset) -> Result<platform::Page, errors::Refusal> {
        if self.pages_left == 0 {
            return Err(search_incomplete(self.request));
        }
        self.pages_left -= 1;
        self.log
            .read(platform::Stream::Usage, from, Duration::ZERO)
            .await
            .map_err(|err| {
                errors::Refusal::new(
                    errors::ResultCode::NotReady,
                    format!("cannot read usage records: {err}"),
                )
            })
    }
}

fn ended_at(record: &platform::LogRecord) -> Option<units::Millis> {
    record.body.get("ended_at")?.as_u64().map(units::Millis)
}

fn search_incomplete(request: ids::RequestId) -> errors::Refusal {
    errors::Refusal::new(
        errors::ResultCode::UnknownObject,
        format!(
            "no usage record of request {request} among those read in {} s or {MAX_PAGES} pages",
            SEARCH_TIMEOUT.as_secs()
        ),
    )
}
