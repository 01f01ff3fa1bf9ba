//! Tasks that follow the store's topics and write reports.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use smol::Timer;
use smol::channel::Receiver;

use crate::control;
use crate::direct;
use crate::ids;
use crate::platform;
use crate::poison;
use crate::runtime;
use crate::settings;

/// Longest wait of a read of the operator's records. A read proves the
/// configuration current only as of its start, so this bounds the age of the proof.
const OPERATOR_WAIT: Duration = Duration::from_millis(1_500);
/// The same as a part of the bound on withdrawn keys: when the store goes away,
/// keys are taken for the rest of the bound, and the age of the last proof is lost.
const OPERATOR_WAIT_PART: f64 = 0.25;
/// Longest wait of a read of endpoints. A read that hangs in an outage is only
/// given up after its wait, and drains must be known soon after the outage.
const ENDPOINT_WAIT: Duration = Duration::from_secs(1);
/// Longest wait of a read of reports.
const REPORT_WAIT: Duration = Duration::from_secs(2);
/// Pause after a read of endpoints, as a part of the bound on drains: each of
/// them reports every second or so, and reading every report by itself would
/// cost a call for each.
const ENDPOINT_PAUSE_PART: f64 = 0.35;
/// Pause after a failed read; calls that the store refuses are paid for too.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Status of a topic that nobody has written to yet.
const NO_TOPIC: u16 = 404;

type Control = control::Control<direct::Plane>;

/// How often a topic is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Longest wait of a read for news.
    pub wait: Duration,
    /// Pause after a read that has brought news.
    pub pause: Duration,
}

impl Pace {
    /// As often as the bounds of the deployment ask, and no more: each read is paid for.
    #[must_use]
    pub fn new(source: direct::Source, bounds: &settings::Bounds) -> Self {
        let (wait, pause) = match source {
            direct::Source::Operator => {
                let most = bounds
                    .revoke
                    .map(|revoke| revoke.duration().mul_f64(OPERATOR_WAIT_PART));
                let wait = most.map_or(OPERATOR_WAIT, |most| most.min(OPERATOR_WAIT));
                (wait, Duration::ZERO)
            }
            direct::Source::Endpoints => (
                ENDPOINT_WAIT,
                bounds.drain.duration().mul_f64(ENDPOINT_PAUSE_PART),
            ),
            direct::Source::Reports => (REPORT_WAIT, Duration::ZERO),
        };
        Self { wait, pause }
    }
}

/// Follows one topic until the process ends.
pub async fn follow(store: platform::Store, source: direct::Source, pace: Pace, control: Control) {
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

/// Writes what the control thread asks for.
pub async fn report(store: platform::Store, effects: Receiver<direct::Effect>, control: Control) {
    while let Ok(effect) = effects.recv().await {
        match effect {
            direct::Effect::Report(report, at) => {
                let done = write_report(&store, &report, at).await;
                control.send(direct::Event::Reported { report, done }).await;
            }
            direct::Effect::TellCrashes(report) => {
                if let Err(err) = tell(&store, &report).await {
                    log::warn!(target: "suspects", fingerprint:% = report.fingerprint, error:% = err;
                        "crashes were not put on record, other entries do not know of them");
                }
            }
        }
    }
}

async fn tell(
    store: &platform::Store,
    report: &poison::CrashReport,
) -> Result<(), platform::PlatformError> {
    let record = platform::crash_record::encode(report)
        .map_err(|err| unencodable(&err.to_string()))?
        .ok_or_else(|| unencodable("key too long"))?;
    let topic = platform::rollout_status::TOPIC;
    store.append(topic, None, &[record]).await.map(|_| ())
}

/// Returns whether the report is on record.
async fn write_report(
    store: &platform::Store,
    report: &direct::RolloutReport,
    at: ids::Offset,
) -> bool {
    match write(store, report, at).await {
        Ok(platform::Appended::At(offset)) => {
            log::info!(target: "rollout", service:% = report.service, target_version:% = report.target,
                stage:% = report.stage, offset:% = offset; "report is on record");
            true
        }
        Ok(platform::Appended::Moved { end }) => {
            log::info!(target: "rollout", service:% = report.service, target_version:% = report.target,
                stage:% = report.stage, expected:% = at, end:% = end; "another entry wrote before");
            false
        }
        Err(err) => {
            log::warn!(target: "rollout", service:% = report.service, target_version:% = report.target,
                stage:% = report.stage, error:% = err; "report was not written");
            false
        }
    }
}

async fn write(
    store: &platform::Store,
    report: &direct::RolloutReport,
    at: ids::Offset,
) -> Result<platform::Appended, platform::PlatformError> {
    match platform::rollout_status::encode(report) {
        Ok(Some(record)) => {
            let topic = platform::rollout_status::TOPIC;
            store.append(topic, Some(at), &[record]).await
        }
        Ok(None) => Err(unencodable("name too long")),
        Err(err) => Err(unencodable(&err.to_string())),
    }
}

fn unencodable(reason: &str) -> platform::PlatformError {
    platform::PlatformError::Refused(crate::http::HttpError::Malformed(reason.into()))
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
