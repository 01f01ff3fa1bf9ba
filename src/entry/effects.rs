//! Carries out what the control thread asks for.

use std::time::{Duration, Instant};

use smol::channel::Receiver;

use crate::control;
use crate::entry;
use crate::feed;
use crate::ids;
use crate::platform;
use crate::runtime;

/// Time after which a record is given up; its system asks for it again where
/// it is still needed.
const APPEND_LIMIT: Duration = Duration::from_secs(15);
/// First and longest pause between tries.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Carries out effects until the control thread ends.
pub async fn run(
    effects: Receiver<control::Effect>,
    links: entry::Links,
    log: platform::LogClient,
    traffic: runtime::Traffic,
) {
    while let Ok(effect) = effects.recv().await {
        match effect {
            control::Effect::Connect { vm, addr, .. } => links.connect(vm, addr),
            control::Effect::Disconnect(vm) => links.disconnect(&vm),
            control::Effect::Send(vm, update) => links.send(&vm, update),
            control::Effect::Append(record) => {
                traffic.spawn(append(log.clone(), record)).detach();
            }
            control::Effect::Order {
                vm,
                fence,
                valid_until,
                action,
            } => {
                let links = links.clone();
                let task = async move { links.order(vm, fence, valid_until, action).await };
                traffic.spawn(task).detach();
            }
        }
    }
}

/// Appends a record once. After a lost answer the log is read forward for the
/// record's id before it is appended again.
async fn append(log: platform::LogClient, append: control::Append) {
    let deadline = Instant::now() + APPEND_LIMIT;
    let mut backoff = feed::Backoff::new(PAUSES.0, PAUSES.1);
    let mut maybe_appended = false;
    while Instant::now() < deadline {
        let outcome = match append.id {
            Some(id) if maybe_appended => contains(&log, append.stream, append.from, id).await,
            None if maybe_appended => Ok(true),
            _ => Ok(false),
        };
        match outcome {
            Ok(true) => return,
            Ok(false) => {
                let records = std::slice::from_ref(&append.record);
                match log.append(append.stream, records).await {
                    Ok(_) => return,
                    Err(err) => {
                        maybe_appended = matches!(err, platform::PlatformError::Unknown(_));
                        log::warn!("control: append to {}: {err}.", append.stream);
                    }
                }
            }
            Err(err) => log::warn!("control: cannot look for a record: {err}."),
        }
        backoff.wait().await;
    }
    log::warn!("control: a record of {} is given up.", append.stream);
}

/// Whether the record with this id lies at `from` or behind it.
async fn contains(
    log: &platform::LogClient,
    stream: platform::Stream,
    mut from: ids::Offset,
    id: ids::ChangeId,
) -> Result<bool, platform::PlatformError> {
    let id = id.to_string();
    loop {
        let page = log.read(stream, from, Duration::ZERO).await?;
        let found = |record: &platform::LogRecord| record.body["id"].as_str() == Some(&id);
        if page.records.iter().any(found) {
            return Ok(true);
        }
        match page.records.last() {
            Some(last) if last.offset.next() < page.end => from = last.offset.next(),
            _ => return Ok(false),
        }
    }
}
