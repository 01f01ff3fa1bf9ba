//! Watches the endpoint.

use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use crate::settings;
use crate::sidecar;
use crate::sidecar::check;
use crate::sidecar::cx;
use crate::sidecar::place;

/// Interval at which the endpoint is asked for its status.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Asks the endpoint for its status at each interval, and at once when a
/// connection that only waits for its close is closed: an endpoint that
/// starts again between two intervals would get the load of a warm one. The
/// endpoint may close that connection for other reasons, so the next interval
/// goes without one.
pub async fn watch(cx: cx::Shared) {
    let mut closed = false;
    loop {
        look(&cx).await;
        let interval = async {
            Timer::after(STATUS_INTERVAL).await;
            false
        };
        closed = if closed {
            interval.await
        } else {
            interval.or(connection_closed(&cx)).await
        };
    }
}

/// Waits until an idle connection to the endpoint is closed; for ever where there is none.
async fn connection_closed(cx: &cx::Shared) -> bool {
    let Ok(mut connection) = TcpStream::connect(cx.cfg.endpoint_addr).await else {
        return smol::future::pending().await;
    };
    let _ = connection.read(&mut [0]).await;
    true
}

/// Asks the endpoint for its status, and lets waiting work go where the
/// limit has risen or the process takes no work any more.
async fn look(cx: &cx::Shared) {
    cx.set_status(status(cx).await);
    if let Err(refusal) = check::check_process(cx, &cx.control.snapshot()) {
        place::refuse_waiting(cx, &refusal);
    }
    place::call_next(cx);
}

/// A plain service has no status of its own; it is up where it accepts connections.
async fn status(cx: &cx::Shared) -> Option<sidecar::EngineStatus> {
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
            log::warn!("admit: the engine does not answer: {err}.");
            None
        }
    }
}
