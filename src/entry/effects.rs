//! Executes the effects that the control thread requests.

use std::time::{Duration, Instant};

use smol::channel::Receiver;

use crate::control;
use crate::entry;
use crate::platform;
use crate::runtime;

/// Time after which the append of a record is abandoned. The system that requested
/// it requests it again if it is still needed.
const APPEND_TIMEOUT: Duration = Duration::from_secs(15);
/// Executes effects until the control thread ends.
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
                let task = async move { links.deliver_order(vm, fence, valid_until, action).await };
                traffic.spawn(task).detach();
            }
        }
    }
}

async fn append(log: platform::LogClient, append: control::Append) {
    let deadline = Instant::now() + APPEND_TIMEOUT;
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
        log::warn!("control: a record for stream {stream} was not appended and is abandoned.");
    }
}
