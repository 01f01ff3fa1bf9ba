//! Watches the endpoint.

use std::time::Duration;

use smol::Timer;

use crate::settings;
use crate::sidecar;
use crate::sidecar::check;
use crate::sidecar::cx;
use crate::sidecar::place;

/// Interval at which the endpoint is asked for its status.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Asks the endpoint for its status, and lets waiting work go where the
/// limit has risen or the process takes no work any more.
pub async fn watch(cx: cx::Shared) {
    loop {
        cx.set_status(status(&cx).await);
        if let Err(refusal) = check::check_process(&cx, &cx.control.snapshot()) {
            place::refuse_waiting(&cx, &refusal);
        }
        place::call_next(&cx);
        Timer::after(STATUS_INTERVAL).await;
    }
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
