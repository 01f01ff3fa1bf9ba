//! Health polling of the endpoint.

use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use crate::settings;
use crate::sidecar;
use crate::sidecar::check;
use crate::sidecar::cx;
use crate::sidecar::slot;

/// Interval between status polls of the endpoint.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the status of the endpoint at each interval, and at once when the
/// endpoint closes a connection that carries no requests: an endpoint that
/// restarts between two polls would otherwise get the load of a warm one. It
/// may close that connection for other reasons, so the interval after a close
/// goes without one.
pub async fn watch(cx: cx::Shared) {
    let mut connection_closed = false;
    loop {
        poll_status(&cx).await;
        let interval = async {
            Timer::after(STATUS_INTERVAL).await;
            false
        };
        connection_closed = if connection_closed {
            interval.await
        } else {
            interval.or(idle_connection_closed(&cx)).await
        };
    }
}

/// Opens a connection to the endpoint and waits until it is closed; never
/// returns if it cannot be opened.
async fn idle_connection_closed(cx: &cx::Shared) -> bool {
    let Ok(mut connection) = TcpStream::connect(cx.cfg.endpoint_addr).await else {
        return smol::future::pending().await;
    };
    let _ = connection.read(&mut [0]).await;
    true
}

/// Updates the status of the endpoint, refuses waiting work if the process no
/// longer accepts any, and admits waiting work if the limit allows more.
async fn poll_status(cx: &cx::Shared) {
    cx.set_status(query_status(cx).await);
    if let Err(refusal) = check::check_process(cx, &cx.control.snapshot()) {
        slot::refuse_waiting(cx, &refusal);
    }
    slot::admit_waiting(cx);
}

/// Queries the status of the endpoint; `None` if it does not answer. A plain
/// service has no status query; it is healthy if it accepts connections.
async fn query_status(cx: &cx::Shared) -> Option<sidecar::EngineStatus> {
    if let settings::EndpointSettings::Service { .. } = cx.cfg.endpoint {
        return cx.service.is_up().await.then(|| sidecar::EngineStatus {
            boot: "".into(),
            versions: Vec::new(),
            running: 0,
        });
    }
    match cx.engine.status().await {
        Ok(status) => Some(status),
        Err(err) => {
            log::warn!("admit: the engine did not answer the status query: {err}.");
            None
        }
    }
}
