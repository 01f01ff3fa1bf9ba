//! Appends a change and waits for its verdict.

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

/// Time for a change from its first append to its verdict: two appends of at
/// most 3 s, and the read-back between them.
const LIMIT: Duration = Duration::from_secs(9);
/// Pause between looks at what is applied; the log takes tens of milliseconds.
const PAUSE: Duration = Duration::from_millis(10);
/// Pause after a failed read or append.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A change that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submitted {
    /// The change.
    pub change: ids::ChangeId,
    /// Offset of its record.
    pub offset: ids::Offset,
    /// The object's new revision.
    pub revision: ids::Revision,
}

/// A copy of the catalog in force.
pub async fn read_catalog(control: &control::Control) -> Result<catalog::Catalog, errors::Refusal> {
    let (tx, rx) = smol::channel::bounded(1);
    control.send(control::Event::ReadCatalog(tx)).await;
    rx.recv()
        .await
        .map_err(|_| errors::Refusal::new(errors::ResultCode::Draining, "the process is stopping"))
}

/// Appends `change` until its record is certainly in the log, and waits until
/// it is applied. `from` is an offset that was not applied when it was made.
pub async fn submit(
    control: &control::Control,
    log: &platform::LogClient,
    change: catalog::Change,
    from: ids::Offset,
) -> Result<Submitted, admin::Failure> {
    let id = change.id;
    let record = serde_json::to_value(catalog::Body::Change(change))
        .map_err(|err| errors::Refusal::new(errors::ResultCode::Internal, err.to_string()))?;
    let deadline = Instant::now() + LIMIT;
    let records = [record];
    let mut appender = platform::Appender::starting_at(log.clone(), platform::Stream::Config, from);
    while Instant::now() < deadline {
        match appender.append(&records).await {
            Ok(()) => return applied(control, id, deadline).await,
            Err(err) if !appender.is_outcome_unknown() => {
                log::warn!("catalog: change {id} not appended: {err}.");
                return Err(errors::Refusal::new(
                    errors::ResultCode::NotAccepted,
                    format!("the log is unavailable, nothing was changed: {err}"),
                )
                .into());
            }
            Err(err) => log::warn!("catalog: outcome of the append of change {id} unknown: {err}."),
        }
        match is_present(&mut appender, id, deadline).await {
            Some(true) => return applied(control, id, deadline).await,
            Some(false) => {
                Timer::after(RETRY_PAUSE).await;
            }
            None => break,
        }
    }
    Err(admin::Failure::unknown(id))
}

/// Whether the log holds the record of a change, read until the log answers;
/// `None` where it does not do so before the deadline.
async fn is_present(
    appender: &mut platform::Appender,
    id: ids::ChangeId,
    deadline: Instant,
) -> Option<bool> {
    while Instant::now() < deadline {
        let own = |record: &Value| is_change(record, id).then_some(());
        match appender.settle(own).await {
            Ok(found) => return Some(!found.is_empty()),
            Err(err) => {
                log::warn!("catalog: cannot read forward for change {id}: {err}.");
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

/// Waits until the record of the change is applied.
async fn applied(
    control: &control::Control,
    id: ids::ChangeId,
    deadline: Instant,
) -> Result<Submitted, admin::Failure> {
    let verdict = runtime::timeout_at(deadline, verdict(control, id)).await;
    match verdict {
        Some(Ok(catalog::Verdict::Accepted { offset, revision })) => Ok(Submitted {
            change: id,
            offset,
            revision,
        }),
        Some(Ok(catalog::Verdict::Rejected { reason, .. })) => Err(rejected(id, reason)),
        Some(Err(_)) | None => Err(admin::Failure::unknown(id)),
    }
}

async fn verdict(
    control: &control::Control,
    id: ids::ChangeId,
) -> Result<catalog::Verdict, errors::Refusal> {
    let mut seen = None;
    loop {
        // The catalog is copied only after another record was applied.
        let config = control.snapshot().config;
        if seen != Some(config) {
            if let Some(verdict) = read_catalog(control).await?.verdict(id) {
                return Ok(verdict);
            }
            seen = Some(config);
        }
        Timer::after(PAUSE).await;
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
