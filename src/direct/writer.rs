//! Task that writes the reports of this entry to the store.

use hyper::body::Bytes;
use smol::channel::{Receiver, Sender};

use crate::control;
use crate::direct;
use crate::http;
use crate::ids;
use crate::platform;
use crate::poison;

type Control = control::Control<direct::Plane>;

/// Executes the effects of the control thread in order, until their channel closes.
/// Exchanges of evidence are passed on to `exchanges`, as a report must not wait for them.
pub async fn write(
    store: platform::StoreClient,
    effects: Receiver<direct::Effect>,
    exchanges: Sender<Option<Box<direct::SharedEvidence>>>,
    control: Control,
) {
    while let Ok(effect) = effects.recv().await {
        match effect {
            direct::Effect::Report(report, at) => {
                let written = write_report(&store, &report, at).await;
                control
                    .send(direct::Event::ReportAttempted { report, written })
                    .await;
            }
            direct::Effect::PublishCrashes(reports) => {
                if let Err(err) = publish_crashes(&store, &reports).await {
                    log::warn!(target: "suspects", reports = reports.len(), error:% = err;
                        "crash reports were not written, other entries are informed later");
                    let lost = reports.iter().map(|report| report.fingerprint).collect();
                    control.send(direct::Event::CrashReportsLost(lost)).await;
                }
            }
            direct::Effect::PublishLimit(report) => {
                let record = platform::limit_record::encode(&report);
                if let Err(err) = append(&store, None, record).await {
                    log::warn!(target: "endpoint", endpoint:% = report.endpoint, error:% = err;
                        "limit of an endpoint was not written, other entries are not informed");
                }
            }
            direct::Effect::ExchangeEvidence(own) => {
                if let Err(err) = exchanges.try_send(own) {
                    log::debug!(target: "rollout", error:% = err; "the last exchange of rollout results is still under way");
                }
            }
        }
    }
}

/// Publishes crash reports, all or none; unlike a rollout report they need no condition.
async fn publish_crashes(
    store: &platform::StoreClient,
    reports: &[poison::CrashReport],
) -> Result<(), platform::PlatformError> {
    let records = reports.iter().map(platform::crash_record::encode);
    let records = records.map(encoded).collect::<Result<Vec<_>, _>>()?;
    let topic = platform::rollout_status::TOPIC;
    store.append(topic, None, &records).await.map(|_| ())
}

/// Returns whether the store accepted the report.
async fn write_report(
    store: &platform::StoreClient,
    report: &direct::RolloutReport,
    at: ids::Position,
) -> bool {
    let record = platform::rollout_status::encode(report);
    match append(store, Some(at), record).await {
        Ok(platform::AppendOutcome::AppendedAt(offset)) => {
            log::info!(target: "rollout", service:% = report.service, target_version:% = report.target,
                stage:% = report.stage, offset:% = offset; "rollout report was written");
            true
        }
        Ok(platform::AppendOutcome::EndMismatch { end }) => {
            log::info!(target: "rollout", service:% = report.service, target_version:% = report.target,
                stage:% = report.stage, expected:% = at, end:% = end; "rollout report was not written, the topic has a newer end");
            false
        }
        Err(err) => {
            log::warn!(target: "rollout", service:% = report.service, target_version:% = report.target,
                stage:% = report.stage, error:% = err; "writing the rollout report failed");
            false
        }
    }
}

/// Appends a record to the reports' topic, which all entries write to. With a
/// position in `at`, only if the topic still ends there.
async fn append(
    store: &platform::StoreClient,
    at: Option<ids::Position>,
    record: serde_json::Result<Option<Bytes>>,
) -> Result<platform::AppendOutcome, platform::PlatformError> {
    let topic = platform::rollout_status::TOPIC;
    store.append(topic, at, &[encoded(record)?]).await
}

/// Returns the record, or the error of a report that can't be written.
fn encoded(record: serde_json::Result<Option<Bytes>>) -> Result<Bytes, platform::PlatformError> {
    let unencodable = |reason: String| {
        platform::PlatformError::Refused(http::HttpError::Malformed(reason.into()))
    };
    record
        .map_err(|err| unencodable(err.to_string()))?
        .ok_or_else(|| unencodable("key too long".into()))
}
