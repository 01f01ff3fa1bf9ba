//! Task that follows a topic of the store and sends its records to the control thread.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use smol::Timer;

use crate::control;
use crate::direct;
use crate::direct::read_log::{Origin, ReadLog};
use crate::ids;
use crate::peers;
use crate::platform;
use crate::runtime;

/// Delay after a failed read; the platform charges for refused calls too.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Status with which the store answers for a topic that has no records yet.
const STATUS_NO_TOPIC: u16 = 404;

type Control = control::Control<direct::Plane>;

/// Follows one topic until the process exits. Starts with a listing of the
/// newest records and repeats it when the position is no longer retained, or when the store
/// has come back from an older copy: at once, and again when all is written again.
/// With `shared`, it may follow another entry instead of the store, or read for others.
pub async fn follow(
    store: platform::StoreClient,
    source: direct::Source,
    poll: direct::PollSettings,
    shared: Option<direct::SharedReads>,
    control: Control,
) {
    let mut reads = direct::TopicReads::default();
    let mut shared = shared.map(|shared| direct::FollowTask::new(shared, source));
    let mut log = ReadLog::new(source);
    loop {
        let position = reads.next(runtime::Moment::now());
        let duty = Arc::clone(&control.snapshot().duty);
        if let Some(task) = &mut shared {
            task.plan(&duty);
            if let Some(from) = position
                && task.is_following()
            {
                // A failure ends following. That the reader has lost the store is no outage of
                // the store for this entry: its own read tells.
                let asked = runtime::Moment::now();
                if let Ok((page, confirmed)) = task.poll(from, asked).await {
                    let mut batch = RawBatch::relayed(from, page);
                    let proof = reads.record_page(batch.end, confirmed);
                    batch.confirmed = proof.confirmed();
                    log.record(Origin::Relay, position, asked, &batch, proof);
                    send(&control, source, batch).await;
                }
                continue;
            }
        }
        let wait = shared
            .as_ref()
            .map_or(poll.wait, |task| task.read_wait(&duty, poll.wait));
        let started = runtime::Moment::now();
        let wait = reads.wait(wait, started);
        let read = match position {
            None => list_newest(&store, source).await,
            Some(from) => read_from(&store, source, from, wait).await,
        };
        match read {
            Ok(Read::Records(mut batch)) => {
                let (origin, proof) = if position.is_none() {
                    let now = runtime::Moment::now();
                    let is_whole = batch.scope != direct::Scope::Partial;
                    let (scope, proof) = reads.record_listing(batch.end, is_whole, started, now);
                    batch.scope = scope;
                    (Origin::Listing, proof)
                } else {
                    let proof = reads.record_read(batch.end, batch.lacking, started);
                    (Origin::Read, proof)
                };
                batch.confirmed = proof.confirmed();
                log.record(origin, position, started, &batch, proof);
                if let Some(task) = &mut shared {
                    task.record_read(&duty, position, &batch);
                }
                let pause = match (batch.records.is_empty(), batch.lacking > 0) {
                    (false, false) => poll.pause,
                    (false, true) | (true, false) => Duration::ZERO,
                    (true, true) => RETRY_DELAY,
                };
                send(&control, source, batch).await;
                if !pause.is_zero() {
                    Timer::after(pause).await;
                }
            }
            Ok(Read::Expired(first)) => {
                log::info!(target: "store", source:% = source, first_retained:% = first;
                    "read position is no longer retained, listing the newest record of each key");
                reads.record_position_lost();
            }
            Err(platform::PlatformError::Restored) => {
                log::info!(target: "store", source:% = source, position = position.map(|at| at.to_string());
                    "read position is of an earlier era, listing the newest record of each key");
                reads.record_position_lost();
            }
            Err(err) => {
                if let Some(task) = &shared {
                    task.record_failure();
                }
                // At debug level only: the control thread logs when the store is lost and regained.
                log::debug!(target: "store", source:% = source, error:% = err; "read failed");
                control
                    .send(direct::Event::ReadFailed(source, err.to_string().into()))
                    .await;
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

async fn send(control: &Control, source: direct::Source, batch: RawBatch) {
    if let Some(crashes) = batch.crashes(source) {
        control.send(crashes).await;
    }
    if let Some(limits) = batch.limits(source) {
        control.send(limits).await;
    }
    control.send(batch.decode(source)).await;
}

/// Outcome of one successful read.
enum Read {
    Records(RawBatch),
    /// The read position is no longer retained; the offset is the first that is.
    Expired(ids::Offset),
}

/// Keys with their values; `None` where the key was removed.
pub type KeyedValues = Vec<(Arc<str>, Option<Bytes>)>;

/// Keys and values as read, not decoded yet.
pub(super) struct RawBatch {
    /// What the records are.
    pub(super) scope: direct::Scope,
    pub(super) records: KeyedValues,
    /// Offsets of the records; none in a listing.
    pub(super) offsets: Vec<ids::Offset>,
    pub(super) end: ids::Position,
    /// Number of records that the topic held beyond `end` when the store answered.
    pub(super) lacking: u64,
    /// Time as of which nothing is lacking; see [`direct::Batch::confirmed`].
    pub(super) confirmed: Option<runtime::Moment>,
}

impl RawBatch {
    /// Takes over what an entry has passed on for the records from `from` on. Older ones are
    /// ignored, and the position never moves back.
    fn relayed(from: ids::Position, page: peers::RelayedPage) -> Self {
        let news = page.records.into_iter();
        let records = news.filter(|record| record.offset >= from.offset);
        let (offsets, records) = records
            .map(|record| (record.offset, (record.key, record.value.map(Bytes::from))))
            .unzip();
        Self {
            scope: direct::Scope::News,
            records,
            offsets,
            end: ids::Position {
                offset: page.end.max(from.offset),
                ..from
            },
            lacking: 0,
            confirmed: None,
        }
    }

    fn decode(self, source: direct::Source) -> direct::Event {
        match source {
            direct::Source::Operator => {
                direct::Event::Operator(self.map(platform::operator::decode))
            }
            direct::Source::Endpoints => direct::Event::Endpoints(self.map(decode_record)),
            direct::Source::Reports => direct::Event::Reports(
                self.map(|key, value| platform::rollout_status::decode(key, value?)),
            ),
        }
    }

    /// Returns the crash reports, which share a topic with the rollout reports.
    fn crashes(&self, source: direct::Source) -> Option<direct::Event> {
        if source != direct::Source::Reports {
            return None;
        }
        let records = self.records.iter();
        let reports: Vec<_> = records
            .filter_map(|(key, value)| platform::crash_record::decode(key, value.as_ref()))
            .collect();
        (!reports.is_empty()).then_some(direct::Event::CrashReports(reports))
    }

    /// Returns the limits of endpoints, which share that topic too.
    fn limits(&self, source: direct::Source) -> Option<direct::Event> {
        if source != direct::Source::Reports {
            return None;
        }
        let limits = self.map(platform::limit_record::decode);
        let has_news = limits.scope != direct::Scope::News || !limits.items.is_empty();
        has_news.then_some(direct::Event::LimitReports(limits))
    }

    fn map<T>(&self, decode: impl Fn(&str, Option<&Bytes>) -> Option<T>) -> direct::Batch<T> {
        direct::Batch {
            scope: self.scope,
            items: self
                .records
                .iter()
                .filter_map(|(key, value)| decode(key, value.as_ref()))
                .collect(),
            end: self.end,
            confirmed: self.confirmed,
        }
    }
}

/// Decodes an endpoint record; `None` when the key is no endpoint id.
pub(super) fn decode_record(key: &str, value: Option<&Bytes>) -> Option<direct::EndpointChange> {
    let id = key.parse::<ids::EndpointId>().ok()?;
    let Some(value) = value else {
        return Some(direct::EndpointChange::Removed(id));
    };
    match platform::endpoint_record::decode(key, value) {
        Ok(record) => Some(direct::EndpointChange::Seen(record)),
        Err(reason) => {
            log::warn!(target: "store", endpoint:% = id, reason:% = reason;
                "endpoint record could not be decoded, keeping the last valid one");
            Some(direct::EndpointChange::Unusable(id))
        }
    }
}

const fn topic(source: direct::Source) -> &'static str {
    match source {
        direct::Source::Operator => platform::operator::TOPIC,
        direct::Source::Endpoints => platform::endpoint_record::TOPIC,
        direct::Source::Reports => platform::rollout_status::TOPIC,
    }
}

/// Lists the newest record of each key.
async fn list_newest(
    store: &platform::StoreClient,
    source: direct::Source,
) -> Result<Read, platform::PlatformError> {
    let listing = newest_records(store, topic(source)).await?;
    let scope = if listing.is_whole {
        direct::Scope::Complete
    } else {
        log::warn!(target: "store", source:% = source, records = listing.records.len();
            "listing ended early, a page did not lead on to the next one");
        direct::Scope::Partial
    };
    Ok(Read::Records(RawBatch {
        scope,
        records: listing.records,
        offsets: Vec::new(),
        end: listing.end,
        lacking: 0,
        confirmed: None,
    }))
}

/// Returns the newest record of each key of a topic. Fails with `Restored` where the store
/// comes back from a copy between two pages.
pub async fn newest_records(
    store: &platform::StoreClient,
    topic: &str,
) -> Result<direct::Listing, platform::PlatformError> {
    let mut cursor = direct::PageCursor::default();
    loop {
        let page = match store.newest(topic, cursor.after()).await {
            // A later page is of a topic that was there a moment ago.
            Err(platform::PlatformError::Status(STATUS_NO_TOPIC)) if cursor.after().is_none() => {
                let era = store.latest_era().unwrap_or_default();
                let offset = ids::Offset::default();
                platform::NewestPage {
                    end: ids::Position { era, offset },
                    ..platform::NewestPage::default()
                }
            }
            page => page?,
        };
        match cursor.record_page(page)? {
            direct::AnyListing::InProgress(next) => cursor = next,
            direct::AnyListing::Ended(listing) => return Ok(listing),
        }
    }
}

/// Reads the records from an offset on, waiting up to `wait` for new ones.
async fn read_from(
    store: &platform::StoreClient,
    source: direct::Source,
    from: ids::Position,
    wait: Duration,
) -> Result<Read, platform::PlatformError> {
    let page = match store.read(topic(source), from, wait).await {
        // The copy may be older than the topic.
        Err(platform::PlatformError::Status(STATUS_NO_TOPIC))
            if store.latest_era().is_some_and(|era| era > from.era) =>
        {
            return Err(platform::PlatformError::Restored);
        }
        Err(platform::PlatformError::Status(STATUS_NO_TOPIC)) => {
            Timer::after(wait).await;
            return Ok(Read::Records(RawBatch {
                scope: direct::Scope::News,
                records: Vec::new(),
                offsets: Vec::new(),
                end: from,
                lacking: 0,
                confirmed: None,
            }));
        }
        Err(err) => return Err(err),
        Ok(platform::ReadOutcome::Expired { first_retained }) => {
            return Ok(Read::Expired(first_retained));
        }
        Ok(platform::ReadOutcome::Records(page)) => page,
    };
    let offset = ids::Offset(from.offset.0.saturating_add(page.records.len() as u64));
    let end = ids::Position { offset, ..from };
    let lacking = page.end.0.saturating_sub(offset.0);
    let offsets = (from.offset.0..).map(ids::Offset);
    let (offsets, records) = offsets
        .zip(&page.records)
        .filter_map(|(offset, content)| {
            let (key, value) = platform::split_key(content)?;
            Some((offset, (Arc::from(key), value)))
        })
        .unzip();
    Ok(Read::Records(RawBatch {
        scope: direct::Scope::News,
        records,
        offsets,
        end,
        lacking,
        confirmed: None,
    }))
}
