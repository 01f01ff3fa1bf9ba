//! Task that follows a topic of the store and sends its records to the control thread.

use std::borrow::Cow;
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use smol::Timer;

use crate::control;
use crate::direct;
use crate::direct::read_log::{Origin, ReadLog};
use crate::ids;
use crate::observe;
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
                    send(&control, source, batch, &mut log).await;
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
                let is_empty = batch.records.is_empty() && batch.left_out.is_empty();
                let pause = match (is_empty, batch.lacking > 0) {
                    (false, false) => poll.pause,
                    (false, true) | (true, false) => Duration::ZERO,
                    (true, true) => RETRY_DELAY,
                };
                send(&control, source, batch, &mut log).await;
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

async fn send(control: &Control, source: direct::Source, mut batch: RawBatch, log: &mut ReadLog) {
    let mut left_out = mem::take(&mut batch.left_out);
    let events = batch.decode(source, &mut left_out);
    log.record_left_out(left_out);
    for event in events {
        control.send(event).await;
    }
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
    /// Records whose keys cannot be read.
    pub(super) left_out: observe::LeftOut,
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
            left_out: observe::LeftOut::default(),
        }
    }

    /// Decodes the records of a topic. Those that cannot be used are added to `left_out`.
    fn decode(
        &self,
        source: direct::Source,
        left_out: &mut observe::LeftOut,
    ) -> Vec<direct::Event> {
        let records = self.records.iter();
        let records = records.map(|(key, value)| (&**key, value.as_ref()));
        match source {
            direct::Source::Operator => {
                let changes = records
                    .filter_map(|(key, value)| platform::operator::decode(key, value, left_out));
                vec![direct::Event::Operator(self.batch(changes.collect()))]
            }
            direct::Source::Endpoints => {
                let changes =
                    records.filter_map(|(key, value)| decode_record(key, value, left_out));
                vec![direct::Event::Endpoints(self.batch(changes.collect()))]
            }
            direct::Source::Reports => {
                let reports = records
                    .filter_map(|(key, value)| platform::report::decode(key, value, left_out));
                self.reports(reports)
            }
        }
    }

    fn reports(
        &self,
        reports: impl Iterator<Item = platform::report::Report>,
    ) -> Vec<direct::Event> {
        let mut rollouts = Vec::new();
        let mut crashes = Vec::new();
        let mut limits = Vec::new();
        for report in reports {
            match report {
                platform::report::Report::Rollout(report) => rollouts.push(report),
                platform::report::Report::Crashes(report) => crashes.push(report),
                platform::report::Report::Limit(report) => limits.push(report),
            }
        }
        let mut events = Vec::new();
        if !crashes.is_empty() {
            events.push(direct::Event::CrashReports(crashes));
        }
        if self.scope != direct::Scope::News || !limits.is_empty() {
            events.push(direct::Event::LimitReports(self.batch(limits)));
        }
        events.push(direct::Event::Reports(self.batch(rollouts)));
        events
    }

    fn batch<T>(&self, items: Vec<T>) -> direct::Batch<T> {
        direct::Batch {
            scope: self.scope,
            items,
            end: self.end,
            confirmed: self.confirmed,
        }
    }
}

/// Decodes an endpoint record; `None` when the key is no endpoint id. A record that cannot be
/// used is added to `left_out`.
pub(super) fn decode_record(
    key: &str,
    value: Option<&Bytes>,
    left_out: &mut observe::LeftOut,
) -> Option<direct::EndpointChange> {
    let Some(value) = value else {
        return key.parse().ok().map(direct::EndpointChange::Removed);
    };
    let id: ids::EndpointId = left_out.usable(key, key.parse())?;
    let record = platform::endpoint_record::decode(key, value);
    Some(match left_out.usable(key, record) {
        Some(record) => direct::EndpointChange::Seen(record),
        None => direct::EndpointChange::Unusable(id),
    })
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
    let mut left_out = observe::LeftOut::default();
    left_out.push_unnamed(listing.without_key);
    Ok(Read::Records(RawBatch {
        scope,
        records: listing.records,
        offsets: Vec::new(),
        end: listing.end,
        lacking: 0,
        confirmed: None,
        left_out,
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
                left_out: observe::LeftOut::default(),
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
    let mut left_out = observe::LeftOut::default();
    let offsets = (from.offset.0..).map(ids::Offset);
    let (offsets, records) = offsets
        .zip(&page.records)
        .filter_map(|(offset, content)| {
            let Some((key, value)) = platform::split_key(content) else {
                left_out.push(&key_lossy(content), "key is not UTF-8");
                return None;
            };
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
        left_out,
    }))
}

/// Returns the key of a record with U+FFFD in place of bytes that are not UTF-8; empty where
/// the record has no key.
fn key_lossy(content: &Bytes) -> Cow<'_, str> {
    platform::split_raw_key(content)
        .map_or_else(Cow::default, |(key, _)| String::from_utf8_lossy(key))
}
