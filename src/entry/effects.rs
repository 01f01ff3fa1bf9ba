//! Carries out what the control thread asks for.

use std::time::{Duration, Instant};

use smol::channel::Receiver;

use crate::control;
use crate::entry;
use crate::platform;
use crate::runtime;

/// Time after which a record is given up; its system asks for it again where
/// it is still needed.
const APPEND_LIMIT: Duration = Duration::from_secs(15);
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

async fn append(log: platform::LogClient, append: control::Append) {
    let deadline = Instant::now() + APPEND_LIMIT;
    let control::Append {
        stream,
        id,
        from,
        record,
    } = append;
    let done = match id {
        Some(id) => {
            platform::append_once(&log, stream, &id.to_string(), from, record, deadline).await
        }
        None => log.append(stream, &[record]).await.is_ok(),
    };
    if !done {
        log::warn!("control: a record of {stream} is given up.");
    }
}
