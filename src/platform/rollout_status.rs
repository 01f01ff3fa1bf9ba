//! Records by which the system reports the state of rollouts to the operator.

use std::collections::BTreeSet;
use std::sync::Arc;

use hyper::body::Bytes;

use crate::direct;
use crate::ids;
use crate::platform::record;
use crate::rollout;

/// Topic of the rollout reports.
pub const TOPIC: &str = "keyed.status";
/// Prefix of the keys, before the name of the service.
pub(super) const KEY_PREFIX: &str = "rollout/";

#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Status {
    state: State,
    target: ids::VersionName,
    /// Stage of a running rollout; read only by the system's own processes.
    phase: Option<Arc<str>>,
    /// Versions that were rolled back before; read only by the system's own processes.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    withdrawn: BTreeSet<ids::VersionName>,
}

#[derive(Clone, Copy, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Running,
    Completed,
    RolledBack,
}

/// Decodes the report on a rollout of `service`; fails with the reason where it is invalid.
/// A running rollout without a known phase counts as probing.
pub fn decode(service: &str, value: &Bytes) -> Result<direct::RolloutReport, String> {
    let service = service.parse().map_err(|err| format!("{err}"))?;
    let status: Status = serde_json::from_slice(value).map_err(|err| err.to_string())?;
    let phase = status.phase.and_then(|phase| phase.parse().ok());
    Ok(direct::RolloutReport {
        service,
        target: status.target,
        stage: match status.state {
            State::Running => phase.unwrap_or(rollout::Stage::Probing),
            State::Completed => rollout::Stage::Completed,
            State::RolledBack => rollout::Stage::RolledBack,
        },
        withdrawn: status.withdrawn,
    })
}

/// Encodes a rollout report for the operator and the other entries. Returns
/// `None` where the key would be too long for a record.
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
        withdrawn: report.withdrawn.clone(),
    })?;
    let key = format!("{KEY_PREFIX}{}", report.service);
    Ok(record::with_key(&key, &value))
}
