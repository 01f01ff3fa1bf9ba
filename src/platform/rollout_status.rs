//! The state of roll-outs that the system reports to the operator.

use std::sync::Arc;

use hyper::body::Bytes;

use crate::direct;
use crate::ids;
use crate::platform::record;
use crate::rollout;

/// Topic of the reports.
pub const TOPIC: &str = "keyed.status";
/// Start of the keys; the service follows.
const PREFIX: &str = "rollout/";

#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Status {
    state: State,
    target: ids::VersionName,
    /// How far a running roll-out is; for the system's own processes.
    phase: Option<Arc<str>>,
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
    let phase = status.phase.and_then(|phase| phase.parse().ok());
    Some(direct::RolloutReport {
        service,
        target: status.target,
        stage: match status.state {
            State::Running => phase.unwrap_or(rollout::Stage::Probing),
            State::Completed => rollout::Stage::Completed,
            State::RolledBack => rollout::Stage::RolledBack,
        },
    })
}

/// The record with a report.
pub fn encode(report: &direct::RolloutReport) -> serde_json::Result<Option<Bytes>> {
    let state = match report.stage {
        rollout::Stage::Completed => State::Completed,
        rollout::Stage::RolledBack => State::RolledBack,
        _ => State::Running,
    };
    let value = serde_json::to_vec(&Status {
        state,
        target: report.target.clone(),
        phase: Some(report.stage.to_string().into()),
    })?;
    let key = format!("{PREFIX}{}", report.service);
    Ok(record::with_key(&key, &value))
}
