//! The task that follows a topic of the store.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use smol::Timer;

use crate::control;
use crate::direct;
use crate::ids;
use crate::platform;
use crate::runtime;

/// Pause after a failed read; calls that the store refuses are paid for too.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Status of a topic that nobody has written to yet.
const NO_TOPIC: u16 = 404;

type Control = control::Control<direct::Plane>;

/// Follows one topic until the process ends.
pub async fn follow(
    store: platform::Store,
    source: direct::Source,
    pace: direct::Pace,
    control: Control,
) {
    let mut position = None;
    loop {
        let asked = runtime::Moment::now();
        let read = match position {
            None => list(&store, source).await,
            Some(from) => read_on(&store, source, from, pace.wait).await,
        };
        match read {
            Ok(Step::Records(batch)) => {
                position = Some(batch.end);
                let has_news = !batch.records.is_empty();
                if let Some(crashes) = batch.crashes(source) {
                    control.send(crashes).await;
                }
                control.send(batch.decode(source, asked)).await;
                if has_news && !pace.pause.is_zero() {
                    Timer::after(pace.pause).await;
                }
            }
            Ok(Step::Expired(first)) => {
                log::info!(target: "store", source:% = source, first_retained:% = first;
                    "records read so far are no longer retained, reading the newest of each key");
                position = None;
            }
            Err(err) => {
                // The control thread logs when the store is lost and regained.
                log::debug!(target: "store", source:% = source, error:% = err; "read failed");
                control
                    .send(direct::Event::ReadFailed(source, err.to_string().into()))
                    .await;
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// What one read has brought.
enum Step {
    Records(RawBatch),
    Expired(ids::Offset),
}

/// Records that are not decoded yet.
struct RawBatch {
    whole: bool,
    records: Vec<(Arc<str>, Option<Bytes>)>,
    end: ids::Offset,
}

impl RawBatch {
    fn decode(self, source: direct::Source, asked: runtime::Moment) -> direct::Event {
        match source {
            direct::Source::Operator => {
                direct::Event::Operator(self.map(asked, platform::operator::decode))
            }
            direct::Source::Endpoints => direct::Event::Endpoints(self.map(asked, endpoint)),
            direct::Source::Reports => direct::Event::Reports(self.map(asked, |key, value| {
                platform::rollout_status::decode(key, value?)
            })),
        }
    }

    /// Crashes under requests, which stand beside the reports of roll-outs.
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

    fn map<T>(
        self,
        asked: runtime::Moment,
        decode: impl Fn(&str, Option<&Bytes>) -> Option<T>,
    ) -> direct::Batch<T> {
        direct::Batch {
            whole: self.whole,
            items: self
                .records
                .iter()
                .filter_map(|(key, value)| decode(key, value.as_ref()))
                .collect(),
            end: self.end,
            asked,
        }
    }
}

fn endpoint(key: &str, value: Option<&Bytes>) -> Option<direct::EndpointChange> {
    let id = key.parse::<ids::EndpointId>().ok()?;
    let Some(value) = value else {
        return Some(direct::EndpointChange::Removed(id));
    };
    match platform::endpoint_record::decode(key, value) {
        Ok(record) => Some(direct::EndpointChange::Seen(record)),
        Err(reason) => {
            log::warn!(target: "store", endpoint:% = id, reason:% = reason;
                "record of an endpoint is not usable and changes nothing");
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

/// The newest record of each key. Pages are not a snapshot, so reading goes on
/// at the end that the first page named: what changed meanwhile comes again.
async fn list(
    store: &platform::Store,
    source: direct::Source,
) -> Result<Step, platform::PlatformError> {
    let mut records = Vec::new();
    let mut end = None;
    let mut after: Option<Arc<str>> = None;
    loop {
        let page = match store.newest(topic(source), after.as_deref()).await {
            Err(platform::PlatformError::Status(NO_TOPIC)) => platform::Newest::default(),
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
    Ok(Step::Records(RawBatch {
        whole: true,
        records,
        end: end.unwrap_or_default(),
    }))
}

async fn read_on(
    store: &platform::Store,
    source: direct::Source,
    from: ids::Offset,
    wait: Duration,
) -> Result<Step, platform::PlatformError> {
    let page = match store.read(topic(source), from, wait).await {
        Err(platform::PlatformError::Status(NO_TOPIC)) => {
            Timer::after(wait).await;
            return Ok(Step::Records(RawBatch {
                whole: false,
                records: Vec::new(),
                end: from,
            }));
        }
        Err(err) => return Err(err),
        Ok(platform::Read::Expired { first_retained }) => return Ok(Step::Expired(first_retained)),
        Ok(platform::Read::Records(page)) => page,
    };
    let end = ids::Offset(from.0.saturating_add(page.records.len() as u64));
    let records = page
        .records
        .iter()
        .filter_map(|content| {
            let (key, value) = platform::split_key(content)?;
            Some((Arc::from(key), value))
        })
        .collect();
    Ok(Step::Records(RawBatch {
        whole: false,
        records,
        end,
    }))
}
