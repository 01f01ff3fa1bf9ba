//! Accepts connections of entries and serves their streams.

use std::sync::Arc;

use quinn::{Connection, Incoming, RecvStream, SendStream};

use crate::sidecar::cx;
use crate::sidecar::dispatch;
use crate::sidecar::order;
use crate::sidecar::service;
use crate::sidecar::updates;
use crate::wire;

/// Accepts connections of entries and serves each in its own task, until the
/// node is closed.
pub async fn accept(cx: cx::Shared, node: wire::Node) {
    while let Some(incoming) = node.accept().await {
        let task = serve_connection(Arc::clone(&cx), incoming);
        cx.traffic.spawn(task).detach();
    }
}

async fn serve_connection(cx: cx::Shared, incoming: Incoming) {
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(err) => {
            log::warn!("peer: incoming connection failed: {err}.");
            return;
        }
    };
    if let Err(err) = accept_streams(&cx, &connection).await {
        log::info!(
            "peer: connection from {} ended: {err}.",
            connection.remote_address()
        );
    }
}

async fn accept_streams(cx: &cx::Shared, connection: &Connection) -> Result<(), wire::WireError> {
    loop {
        let (tx, rx) = connection.accept_bi().await?;
        let cx2 = Arc::clone(cx);
        let task = async move {
            if let Err(err) = serve_stream(&cx2, tx, rx).await {
                log::debug!("peer: stream ended: {err}.");
            }
        };
        cx.traffic.spawn(task).detach();
    }
}

async fn serve_stream(
    cx: &cx::Shared,
    mut tx: SendStream,
    mut rx: RecvStream,
) -> Result<(), wire::WireError> {
    match wire::read(&mut rx).await? {
        Some(wire::StreamOpening::Hello(peer)) => {
            log::info!(
                "peer: entry {} connected, incarnation {}.",
                peer.vm,
                peer.incarnation
            );
            updates::run(cx, &peer.vm, tx, rx).await
        }
        Some(wire::StreamOpening::Dispatch(dispatch)) => dispatch::run(cx, *dispatch, tx).await,
        Some(wire::StreamOpening::FenceCall {
            call,
            generation,
            incarnation,
        }) => {
            let reply = service::fence_call(cx, call, generation, incarnation);
            wire::write(&mut tx, &reply).await
        }
        Some(wire::StreamOpening::Order { fence, action }) => {
            let result = order::execute(cx, fence, &action).await;
            wire::write(&mut tx, &result).await
        }
        Some(wire::StreamOpening::UsageDurable(requests)) => {
            cx.with_usage_copies(|copies| copies.confirm(&requests));
            Ok(())
        }
        None => Ok(()),
    }
}
