//! Connections accepted from other entries.

use quinn::{Incoming, RecvStream, SendStream};

use crate::control;
use crate::fleet;
use crate::ids;
use crate::runtime;
use crate::wire;

/// Accepts connections until the node is closed, each served by a task of its own.
pub async fn accept(
    identity: fleet::Identity,
    node: wire::Node,
    control: control::Control,
    traffic: runtime::Traffic,
) {
    while let Some(incoming) = node.accept().await {
        let (identity, control) = (identity.clone(), control.clone());
        let task = async move {
            if let Err(err) = serve_entry(identity, control, incoming).await {
                log::info!("peer: connection from an entry ended: {err}.");
            }
        };
        traffic.spawn(task).detach();
    }
}

/// Serves a connection of another entry. Its single stream carries the updates of that
/// entry; updates to it go over the connection that this entry opens.
async fn serve_entry(
    identity: fleet::Identity,
    control: control::Control,
    incoming: Incoming,
) -> Result<(), wire::WireError> {
    let connection = incoming.await?;
    let (mut tx, mut rx): (SendStream, RecvStream) = connection.accept_bi().await?;
    let Some(wire::StreamOpening::Hello(peer)) = wire::read(&mut rx).await? else {
        return Err(wire::WireError::Malformed(
            "expected a Hello as the first message".into(),
        ));
    };
    wire::write(&mut tx, &wire::Update::Hello(identity)).await?;
    while let Some(update) = wire::read(&mut rx).await? {
        take(&control, &peer.vm, update).await;
    }
    Ok(())
}

/// Forwards an update of the process on `vm` to the control thread.
pub async fn take(control: &control::Control, vm: &ids::VmName, update: wire::Update) {
    let event = match update {
        wire::Update::Hello(peer) => control::Event::LinkUp(peer),
        wire::Update::Report(report) => control::Event::Report(vm.clone(), report),
        wire::Update::Crash(report) => control::Event::Crash(report),
        wire::Update::Config(records) => {
            control::Event::ConfigFromPeer(wire::decode_config(&records))
        }
        wire::Update::Control(records) => {
            control::Event::ControlFromPeer(wire::decode_control(&records))
        }
        wire::Update::Applied { config, control } => control::Event::AppliedOffsets {
            vm: vm.clone(),
            config,
            control,
        },
        wire::Update::Members(members) => control::Event::Members(members),
        wire::Update::Leaving(leaving) => control::Event::Leaving(vm.clone(), leaving),
    };
    control.send(event).await;
}
