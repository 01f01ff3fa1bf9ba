//! The task that writes to the store.

use hyper::body::Bytes;
use smol::channel::Receiver;

use crate::control;
use crate::direct;
use crate::http;
use crate::ids;
use crate::platform;
use crate::poison;

type Control = control::Control<direct::Plane>;

/// Writes what the control thread asks for.
pub async fn write(store: platform::Store, effects: Receiver<direct::Effect>, control: Control) {
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
    let record = platform::crash_record::encode(report);
    append(store, None, record).await.map(|_| ())
}

/// Returns whether the report is on record.
async fn write_report(
    store: &platform::Store,
    report: &direct::RolloutReport,
    at: ids::Offset,
) -> bool {
    let record = platform::rollout_status::encode(report);
    match append(store, Some(at), record).await {
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

/// Appends a record to the topic that all entries write to.
async fn append(
    store: &platform::Store,
    at: Option<ids::Offset>,
    record: serde_json::Result<Option<Bytes>>,
) -> Result<platform::Appended, platform::PlatformError> {
    let unencodable = |reason: String| {
        platform::PlatformError::Refused(http::HttpError::Malformed(reason.into()))
    };
    let record = record
        .map_err(|err| unencodable(err.to_string()))?
        .ok_or_else(|| unencodable("key too long".into()))?;
    let topic = platform::rollout_status::TOPIC;
    store.append(topic, at, &[record]).await
}
