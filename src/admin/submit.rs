//! Appends a change to the log and waits until it is accepted or rejected.

use std::time::{Duration, Instant};

use serde_json::Value;
use smol::Timer;

use crate::admin;
use crate::catalog;
use crate::control;
use crate::errors;
use crate::ids;
use crate::platform;
use crate::runtime;

/// Time limit for a change from its first append until it is accepted or rejected:
/// two appends of at most 3 s each, and the read of the log between them.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(9);
/// Interval between checks whether the change is applied; the log takes tens of
/// milliseconds.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause before the retry of a failed read or append.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// An accepted change that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedChange {
    /// Id of the change.
    pub change: ids::ChangeId,
    /// Offset of the record of the change in the `config` stream.
    pub offset: ids::Offset,
    /// New revision of the object.
    pub revision: ids::Revision,
}

/// Returns a copy of the catalog in force. Fails where the process is stopping.
pub async fn read_catalog(control: &control::Control) -> Result<catalog::Catalog, errors::Refusal> {
    let (tx, rx) = smol::channel::bounded(1);
    control.send(control::Event::ReadCatalog(tx)).await;
    rx.recv()
        .await
        .map_err(|_| errors::Refusal::new(errors::ResultCode::Draining, "the process is stopping"))
}

/// Appends `change` until its record is known to be in the log, and waits until
/// it is applied. `from` is an offset that had not been applied when the change
/// was made. Fails where the log is unavailable, the change is rejected or its
/// outcome stays unknown.
pub async fn submit(
    control: &control::Control,
    log: &platform::LogClient,
    change: catalog::Change,
    from: ids::Offset,
) -> Result<AppliedChange, admin::Failure> {
    let id = change.id;
    let record = serde_json::to_value(catalog::Body::Change(change))
        .map_err(|err| errors::Refusal::new(errors::ResultCode::Internal, err.to_string()))?;
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let records = [record];
    let mut appender = platform::Appender::starting_at(log.clone(), platform::Stream::Config, from);
    while Instant::now() < deadline {
        match appender.append(&records).await {
            Ok(()) => return wait_until_applied(control, id, deadline).await,
            Err(err) if !appender.is_outcome_unknown() => {
                log::warn!("catalog: change {id} not appended: {err}.");
                return Err(errors::Refusal::new(
                    errors::ResultCode::NotAccepted,
                    format!("the log is unavailable, nothing was changed: {err}"),
                )
                .into());
            }
            Err(err) => log::warn!("catalog: unknown whether change {id} was appended: {err}."),
        }
        match is_appended(&mut appender, id, deadline).await {
            Some(true) => return wait_until_applied(control, id, deadline).await,
            Some(false) => {
                Timer::after(RETRY_PAUSE).await;
            }
            None => break,
        }
    }
    Err(admin::Failure::outcome_unknown(id))
}

/// Returns whether the log holds the record of a change. Retries failed reads;
/// `None` where none succeeds before the deadline.
async fn is_appended(
    appender: &mut platform::Appender,
    id: ids::ChangeId,
    deadline: Instant,
) -> Option<bool> {
    while Instant::now() < deadline {
        let is_own = |record: &Value| is_change(record, id).then_some(());
        match appender.reconcile(is_own).await {
            Ok(found) => return Some(!found.is_empty()),
            Err(err) => {
                log::warn!("catalog: cannot read the log to find change {id}: {err}.");
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
    None
}

fn is_change(record: &Value, id: ids::ChangeId) -> bool {
    let found = record.pointer("/change/id").and_then(|id| id.as_str());
    found.is_some_and(|text| text == id.to_string())
}

/// Waits until the record of the change is applied or rejected, until the deadline.
async fn wait_until_applied(
    control: &control::Control,
    id: ids::ChangeId,
    deadline: Instant,
) -> Result<AppliedChange, admin::Failure> {
    let verdict = runtime::timeout_at(deadline, wait_for_verdict(control, id)).await;
    match verdict {
        Some(Ok(catalog::ChangeOutcome::Accepted { offset, revision })) => Ok(AppliedChange {
            change: id,
            offset,
            revision,
        }),
        Some(Ok(catalog::ChangeOutcome::Rejected { reason, .. })) => Err(rejected(id, reason)),
        Some(Err(_)) | None => Err(admin::Failure::outcome_unknown(id)),
    }
}

async fn wait_for_verdict(
    control: &control::Control,
    id: ids::ChangeId,
) -> Result<catalog::ChangeOutcome, errors::Refusal> {
    let mut checked_config = None;
    loop {
        // The catalog is copied only after a further record has been applied.
        let config = control.snapshot().config;
        if checked_config != Some(config) {
            if let Some(verdict) = read_catalog(control).await?.change_outcome(id) {
                return Ok(verdict);
            }
            checked_config = Some(config);
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

fn rejected(id: ids::ChangeId, reason: catalog::RejectReason) -> admin::Failure {
    match reason {
        catalog::RejectReason::Conflict { current } => admin::Failure::conflict(current, Some(id)),
        catalog::RejectReason::WrongKind => errors::Refusal::new(
            errors::ResultCode::InvalidObject,
            "the content is of another kind",
        )
        .into(),
        catalog::RejectReason::Missing => {
            errors::Refusal::new(errors::ResultCode::UnknownObject, "no such object").into()
        }
    }
}
