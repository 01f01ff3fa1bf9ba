//! Task that follows a topic of the store and sends its records to the control thread.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use smol::Timer;

use crate::control;
use crate::direct;
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
/// newest records and repeats it when the position is no longer retained.
/// With `shared`, it may follow another entry instead of the store, or read for others.
pub async fn follow(
    store: platform::StoreClient,
    source: direct::Source,
    poll: direct::PollSettings,
    shared: Option<direct::SharedReads>,
    control: Control,
) {
    let mut position = None;
    let mut shared = shared.map(|shared| direct::FollowTask::new(shared, source));
    loop {
        let duty = Arc::clone(&control.snapshot().duty);
        if let Some(task) = &mut shared {
            task.plan(&duty);
            if let Some(from) = position
                && task.is_following()
            {
                // A failure ends following. That the reader has lost the store is no outage of
                // the store for this entry: its own read tells.
                if let Ok((page, read_started)) = task.poll(from).await {
                    let batch = RawBatch::relayed(from, page);
                    position = Some(batch.end);
                    send(&control, source, batch, read_started).await;
                }
                continue;
            }
        }
        let wait = shared
            .as_ref()
            .map_or(poll.wait, |task| task.read_wait(&duty, poll.wait));
        let read_started = runtime::Moment::now();
        let read = match position {
            None => list_newest(&store, source).await,
            Some(from) => read_from(&store, source, from, wait).await,
        };
        match read {
            Ok(Read::Records(batch)) => {
                if let Some(task) = &mut shared {
                    task.record_read(&duty, position, &batch, read_started);
                }
                position = Some(batch.end);
                let has_records = !batch.records.is_empty();
                send(&control, source, batch, read_started).await;
                if has_records && !poll.pause.is_zero() {
                    Timer::after(poll.pause).await;
                }
            }
            Ok(Read::Expired(first)) => {
                log::info!(target: "store", source:% = source, first_retained:% = first;
                    "read position is no longer retained, listing the newest record of each key");
                position = None;
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

async fn send(
    control: &Control,
    source: direct::Source,
    batch: RawBatch,
    read_started: runtime::Moment,
) {
    if let Some(crashes) = batch.crashes(source) {
        control.send(crashes).await;
    }
    if let Some(limits) = batch.limits(source, read_started) {
        control.send(limits).await;
    }
    control.send(batch.decode(source, read_started)).await;
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
    /// Whether this is a listing.
    pub(super) whole: bool,
    pub(super) records: KeyedValues,
    /// Offsets of the records; none in a listing.
    pub(super) offsets: Vec<ids::Offset>,
    pub(super) end: ids::Offset,
}

impl RawBatch {
    /// Takes over what an entry has passed on for the records from `from` on. Older ones are
    /// ignored, and the position never moves back.
    fn relayed(from: ids::Offset, page: peers::RelayedPage) -> Self {
        let news = page.records.into_iter();
        let records = news.filter(|record| record.offset >= from);
        let (offsets, records) = records
            .map(|record| (record.offset, (record.key, record.value.map(Bytes::from))))
            .unzip();
        Self {
            whole: false,
            records,
            offsets,
            end: page.end.max(from),
        }
    }

    fn decode(self, source: direct::Source, started: runtime::Moment) -> direct::Event {
        match source {
            direct::Source::Operator => {
                direct::Event::Operator(self.map(started, platform::operator::decode))
            }
            direct::Source::Endpoints => direct::Event::Endpoints(self.map(started, decode_record)),
            direct::Source::Reports => direct::Event::Reports(self.map(started, |key, value| {
                platform::rollout_status::decode(key, value?)
            })),
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
    fn limits(
        &self,
        source: direct::Source,
        read_started: runtime::Moment,
    ) -> Option<direct::Event> {
        if source != direct::Source::Reports {
            return None;
        }
        let limits = self.map(read_started, platform::limit_record::decode);
        let has_news = limits.complete || !limits.items.is_empty();
        has_news.then_some(direct::Event::LimitReports(limits))
    }

    fn map<T>(
        &self,
        read_started: runtime::Moment,
        decode: impl Fn(&str, Option<&Bytes>) -> Option<T>,
    ) -> direct::Batch<T> {
        direct::Batch {
            complete: self.whole,
            items: self
                .records
                .iter()
                .filter_map(|(key, value)| decode(key, value.as_ref()))
                .collect(),
            end: self.end,
            read_started,
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

/// Lists the newest record of each key. The pages are not a consistent snapshot,
/// so the position is the end stated by the first page: later changes are read again.
async fn list_newest(
    store: &platform::StoreClient,
    source: direct::Source,
) -> Result<Read, platform::PlatformError> {
    let (records, end) = newest_records(store, topic(source)).await?;
    Ok(Read::Records(RawBatch {
        whole: true,
        records,
        offsets: Vec::new(),
        end,
    }))
}

/// Returns the newest record of each key of a topic, and the end stated by the first page.
pub async fn newest_records(
    store: &platform::StoreClient,
    topic: &str,
) -> Result<(KeyedValues, ids::Offset), platform::PlatformError> {
    let mut records = Vec::new();
    let mut end = None;
    let mut after: Option<Arc<str>> = None;
    loop {
        let page = match store.newest(topic, after.as_deref()).await {
            Err(platform::PlatformError::Status(STATUS_NO_TOPIC)) => {
                platform::NewestPage::default()
            }
            page => page?,
        };
        end.get_or_insert(page.end);
        after = page.records.last().map(|record| Arc::clone(&record.key));
        records.extend(
            page.records
                .into_iter()
                .map(|record| (record.key, record.value)),
        );
        if !page.has_more || after.is_none() {
            break;
        }
    }
    Ok((records, end.unwrap_or_default()))
}

/// Reads the records from an offset on, waiting up to `wait` for new ones.
async fn read_from(
    store: &platform::StoreClient,
    source: direct::Source,
    from: ids::Offset,
    wait: Duration,
) -> Result<Read, platform::PlatformError> {
    let page = match store.read(topic(source), from, wait).await {
        Err(platform::PlatformError::Status(STATUS_NO_TOPIC)) => {
            Timer::after(wait).await;
            return Ok(Read::Records(RawBatch {
                whole: false,
                records: Vec::new(),
                offsets: Vec::new(),
                end: from,
            }));
        }
        Err(err) => return Err(err),
        Ok(platform::ReadOutcome::Expired { first_retained }) => {
            return Ok(Read::Expired(first_retained));
        }
        Ok(platform::ReadOutcome::Records(page)) => page,
    };
    let end = ids::Offset(from.0.saturating_add(page.records.len() as u64));
    let offsets = (from.0..).map(ids::Offset);
    let (offsets, records) = offsets
        .zip(&page.records)
        .filter_map(|(offset, content)| {
            let (key, value) = platform::split_key(content)?;
            Some((offset, (Arc::from(key), value)))
        })
        .unzip();
    Ok(Read::Records(RawBatch {
        whole: false,
        records,
        offsets,
        end,
    }))
}
