//! Detection of requests that crash endpoints.

use crate::direct;
use crate::gateway::call;
use crate::ids;

impl call::Call {
    /// Returns the fingerprint of team, method, target and body, which stays the same
    /// when the caller retries.
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

    /// Returns whether the request has crashed so many endpoints that it must not be
    /// executed again.
    #[must_use]
    pub fn is_refused_as_suspect(&self) -> bool {
        let snapshot = self.cx.control.snapshot();
        let suspects = &snapshot.suspects;
        !suspects.is_empty() && suspects.is_refused(self.fingerprint())
    }

    /// Adds the fingerprint to the request's log line; crashes are logged by fingerprint.
    pub(super) fn note_fingerprint(&mut self) {
        let fingerprint = self.fingerprint();
        self.trace.note("fingerprint", &fingerprint);
    }

    /// Probes an endpoint that broke off an attempt, and reports a crash if it accepts no
    /// connection.
    pub(super) fn check_for_crash(
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
        self.cx.pools.spawn(async move {
            if client.open_idle().await.is_err() {
                control.send_or_drop(crashed);
            }
        });
    }

    /// Clears the suspicion of a request that was answered: an endpoint that crashed
    /// during it did so by coincidence.
    pub fn clear_suspicion(&self) {
        let snapshot = self.cx.control.snapshot();
        if !snapshot.suspects.is_empty() {
            let fingerprint = self.fingerprint();
            if snapshot.suspects.contains(fingerprint) {
                let cleared = direct::Event::SuspectCleared(fingerprint);
                self.cx.control.send_or_drop(cleared);
            }
        }
    }
}
