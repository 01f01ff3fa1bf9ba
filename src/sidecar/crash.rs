//! Detection of engine crashes from lost connections and changed boot ids.

use std::sync::Arc;

use crate::admission;
use crate::attempt;
use crate::control;
use crate::sidecar::cx;
use crate::sidecar::slot;

/// Registers a request as in flight on the engine until the guard is dropped.
pub struct InFlightRequest<'a> {
    cx: &'a cx::Shared,
    flight: admission::InFlightId,
    boot: Option<Arc<str>>,
}

impl<'a> InFlightRequest<'a> {
    /// Registers a request that is about to be forwarded to the engine.
    pub fn begin(cx: &'a cx::Shared, dispatch: &attempt::Dispatch) -> Self {
        let suspect = (dispatch.request, dispatch.fingerprint);
        Self {
            cx,
            flight: cx.with_crashes(|crashes| crashes.begin(suspect)),
            boot: cx.engine_status().map(|status| status.boot),
        }
    }

    /// Handles a request that failed. If its connection was lost, checks whether the
    /// engine has crashed, unless this process is stopping or its VM or failure
    /// domain is leaving or out of service, which explains the loss.
    pub fn failed(&self, connection_lost: bool) {
        let snapshot = self.cx.control.snapshot();
        let planned =
            self.cx.is_stopping() || snapshot.self_out_of_service || snapshot.is_self_leaving();
        if !connection_lost || planned {
            return;
        }
        if let Some(loss) = self
            .cx
            .with_crashes(|crashes| crashes.connection_lost(self.flight))
        {
            self.cx
                .with_admission(|adm| adm.gate_mut().record_connection_loss());
            let task = confirm_crash(Arc::clone(self.cx), loss, self.boot.clone());
            self.cx.traffic.spawn(task).detach();
        }
    }
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        self.cx.with_crashes(|crashes| crashes.end(self.flight));
    }
}

/// Reports a crash to the entries and the control thread, unless the engine
/// still answers under its previous boot id.
async fn confirm_crash(cx: cx::Shared, loss: admission::ConnectionLoss, boot: Option<Arc<str>>) {
    let still_running = is_still_running(&cx, boot.as_ref()).await;
    cx.with_admission(|adm| adm.gate_mut().resolve_connection_loss());
    slot::admit_waiting(&cx);
    if still_running {
        cx.with_crashes(|crashes| crashes.withdraw(&loss));
        return;
    }
    let report = cx.with_crashes(|crashes| crashes.confirm(loss, &cx.identity));
    log::warn!(
        "admit: the engine crashed, incident {}, {} requests were in flight.",
        report.incident,
        report.in_flight.len()
    );
    cx.notify_crash(&report);
    cx.control.send(control::Event::Crash(report)).await;
}

/// Returns whether the engine still answers under the same boot id, in which
/// case it has only ended a single answer.
async fn is_still_running(cx: &cx::Shared, boot: Option<&Arc<str>>) -> bool {
    let status = cx.engine.status().await.ok();
    let same = status
        .as_ref()
        .is_some_and(|status| boot == Some(&status.boot));
    cx.set_status(status);
    same
}
