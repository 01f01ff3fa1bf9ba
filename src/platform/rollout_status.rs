//! The state of roll-outs that the system reports to the operator.

use hyper::body::Bytes;

use crate::direct;
use crate::ids;
use crate::platform::record;

/// Topic of the reports.
pub const TOPIC: &str = "keyed.status";
/// Start of the keys; the service follows.
const PREFIX: &str = "rollout/";

#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Status {
    state: State,
    target: ids::VersionName,
}

#[derive(Clone, Copy, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Running,
    Completed,
    RolledBack,
}

/// Decodes a report; `None` where the record is something else.
#[must_use]
pub fn decode(key: &str, value: &Bytes) -> Option<direct::RolloutReport> {
    let service = key.strip_prefix(PREFIX)?.parse().ok()?;
    let status: Status = serde_json::from_slice(value)
        .inspect_err(|err| log::warn!("store: status {key} is not usable: {err}."))
        .ok()?;
    Some(direct::RolloutReport {
        service,
        target: status.target,
        stage: match status.state {
            State::Running => direct::RolloutStage::Running,
            State::Completed => direct::RolloutStage::Completed,
            State::RolledBack => direct::RolloutStage::RolledBack,
        },
    })
}

/// The record with a report.
pub fn encode(report: &direct::RolloutReport) -> serde_json::Result<Option<Bytes>> {
    let value = serde_json::to_vec(&Status {
        state: match report.stage {
            direct::RolloutStage::Running => State::Running,
            direct::RolloutStage::Completed => State::Completed,
            direct::RolloutStage::RolledBack => State::RolledBack,
        },
        target: report.target.clone(),
    })?;
    Ok(record::with_key(
        &format!("{PREFIX}{}", report.service),
        &value,
    ))
}
