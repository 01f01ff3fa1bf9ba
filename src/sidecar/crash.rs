//! Recognises crashes of the engine.

use std::sync::Arc;

use crate::admission;
use crate::attempt;
use crate::control;
use crate::sidecar::cx;
use crate::sidecar::place;

/// A request that the engine runs.
pub struct InFlight<'a> {
    cx: &'a cx::Shared,
    flight: admission::Flight,
    boot: Option<Arc<str>>,
}

impl<'a> InFlight<'a> {
    /// The request is about to be passed on.
    pub fn begin(cx: &'a cx::Shared, dispatch: &attempt::Dispatch) -> Self {
        let suspect = (dispatch.request, dispatch.fingerprint);
        Self {
            cx,
            flight: cx.with_crashes(|crashes| crashes.begin(suspect)),
            boot: cx.engine_status().map(|status| status.boot),
        }
    }

    /// The request ended early; `lost` where its connection did.
    pub fn broke(&self, lost: bool) {
        let snapshot = self.cx.control.snapshot();
        let planned = self.cx.is_stopping() || snapshot.self_out || snapshot.self_leaving();
        if !lost || planned {
            return;
        }
        if let Some(loss) = self.cx.with_crashes(|crashes| crashes.lost(self.flight)) {
            self.cx.with_admission(|adm| adm.gate_mut().suspect_crash());
            let task = confirm(Arc::clone(self.cx), loss, self.boot.clone());
            self.cx.traffic.spawn(task).detach();
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.cx.with_crashes(|crashes| crashes.end(self.flight));
    }
}

async fn confirm(cx: cx::Shared, loss: admission::Loss, boot: Option<Arc<str>>) {
    let is_same = is_same(&cx, boot.as_ref()).await;
    cx.with_admission(|adm| adm.gate_mut().clear_suspicion());
    place::call_next(&cx);
    if is_same {
        cx.with_crashes(|crashes| crashes.dismiss(&loss));
        return;
    }
    let report = cx.with_crashes(|crashes| crashes.confirm(loss, &cx.me));
    log::warn!(
        "admit: the engine crashed, incident {}, {} requests were in flight.",
        report.incident,
        report.in_flight.len()
    );
    cx.tell_crash(&report);
    cx.control.send(control::Event::Crash(report)).await;
}

/// Whether the engine still answers under the same boot id: it has only ended one answer then.
async fn is_same(cx: &cx::Shared, boot: Option<&Arc<str>>) -> bool {
    let status = cx.engine.status().await.ok();
    let same = status
        .as_ref()
        .is_some_and(|status| boot == Some(&status.boot));
    cx.set_status(status);
    same
}
