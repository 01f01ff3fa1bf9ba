//! The control stream of a connection from an entry.

use std::time::{Duration, Instant};

use quinn::{RecvStream, SendStream};
use smol::future::FutureExt;

use crate::control;
use crate::fleet;
use crate::ids;
use crate::runtime;
use crate::sidecar::cx;
use crate::wire;

/// Interval between reports, which also serve as the heartbeat.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Sends reports and crashes to the entry and applies its updates, until the
/// stream ends.
pub async fn run(
    cx: &cx::Shared,
    entry: &ids::VmName,
    mut tx: SendStream,
    mut rx: RecvStream,
) -> Result<(), wire::WireError> {
    wire::write(&mut tx, &wire::Update::Hello(cx.identity.clone())).await?;
    let crashes = cx.subscribe_crashes();
    let send = async {
        loop {
            send_report(cx, &mut tx).await?;
            let next = Instant::now() + REPORT_INTERVAL;
            while let Some(Ok(crash)) = runtime::timeout_at(next, crashes.recv()).await {
                wire::write(&mut tx, &wire::Update::Crash(crash)).await?;
            }
        }
    };
    let receive = async {
        while let Some(update) = wire::read::<wire::Update>(&mut rx).await? {
            apply(cx, entry, update).await;
        }
        Ok(())
    };
    let ended = send.or(receive).await;
    cx.control
        .send(control::Event::LinkDown(entry.clone()))
        .await;
    ended
}

/// Sends the state of the endpoint and all crashes that are not yet recorded in
/// the log.
async fn send_report(cx: &cx::Shared, tx: &mut SendStream) -> Result<(), wire::WireError> {
    let snapshot = cx.control.snapshot();
    let report = fleet::Report {
        control: snapshot.control,
        ..cx.report()
    };
    wire::write(tx, &wire::Update::Report(report)).await?;
    for crash in &snapshot.unrecorded_crashes {
        wire::write(tx, &wire::Update::Crash(crash.clone())).await?;
    }
    Ok(())
}

/// Passes an update of an entry on to the control thread.
async fn apply(cx: &cx::Shared, entry: &ids::VmName, update: wire::Update) {
    match update {
        wire::Update::Config(records) => {
            let records = wire::decode_config(&records);
            cx.control
                .send(control::Event::ConfigFromPeer(records))
                .await;
        }
        wire::Update::Control(records) => {
            let records = wire::decode_control(&records);
            cx.control
                .send(control::Event::ControlFromPeer(records))
                .await;
        }
        wire::Update::Leaving(leaving) => {
            let event = control::Event::Leaving(entry.clone(), leaving);
            cx.control.send(event).await;
        }
        other => log::trace!("peer: ignored update {other:?}"),
    }
}
