//! What one request shows of endpoints that crash under it.

use crate::direct;
use crate::gateway::call;
use crate::ids;

impl call::Call {
    /// Fingerprint of what the endpoints run, the same each time a caller tries again.
    fn fingerprint(&self) -> ids::Fingerprint {
        let team = self.team.as_ref().map_or("", ids::TeamName::as_str);
        let parts = [
            team.as_bytes(),
            self.method.as_str().as_bytes(),
            self.target.as_bytes(),
            &self.body,
        ];
        ids::Fingerprint::of_parts(&parts)
    }

    /// Whether the request has crashed so many endpoints that it must not run.
    #[must_use]
    pub fn crashes_endpoints(&self) -> bool {
        let snapshot = self.cx.control.snapshot();
        let suspects = &snapshot.suspects;
        !suspects.is_empty() && suspects.is_refused(self.fingerprint())
    }

    /// Notes the fingerprint for the log, where crashes are listed by it.
    pub(super) fn note_fingerprint(&mut self) {
        let fingerprint = self.fingerprint();
        self.trace.note("fingerprint", &fingerprint);
    }

    /// The endpoint has broken off a run; finds out whether it has crashed.
    pub(super) fn suspect_crash(
        &self,
        view: &direct::ServiceView,
        endpoint: &direct::EndpointView,
    ) {
        let client = self.client(view, endpoint);
        let crashed = direct::Event::Crashed {
            fingerprint: self.fingerprint(),
            endpoint: endpoint.record.id.clone(),
        };
        let control = self.cx.control.clone();
        self.cx.lanes.spawn(async move {
            if client.open_idle().await.is_err() {
                control.send_lossy(crashed);
            }
        });
    }

    /// The request was answered: an endpoint that crashed under it did so by chance.
    pub fn clear_suspicion(&self) {
        let snapshot = self.cx.control.snapshot();
        if !snapshot.suspects.is_empty() {
            let fingerprint = self.fingerprint();
            if snapshot.suspects.contains(fingerprint) {
                let cleared = direct::Event::Cleared(fingerprint);
                self.cx.control.send_lossy(cleared);
            }
        }
    }
}
