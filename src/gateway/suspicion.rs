//! Detection of requests, and of parts of prompts, that crash endpoints.

use std::sync::Arc;

use crate::balance;
use crate::direct;
use crate::gateway;
use crate::gateway::call;
use crate::ids;
use crate::poison;

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

    /// Returns the fingerprints of the parts of the prompt that other requests may share.
    fn part_fingerprints(&self) -> Vec<ids::Fingerprint> {
        let parts = self.metadata.prompt.as_ref().map(|prompt| &prompt.parts);
        let shared = parts.and_then(|parts| parts.split_last());
        shared.map_or_else(Vec::new, |(_, shared)| {
            let fingerprint = |part: &balance::PromptPart| {
                let id = part.id.0.to_be_bytes();
                ids::Fingerprint::of_parts(&[b"prompt part", self.service.as_str().as_bytes(), &id])
            };
            shared.iter().map(fingerprint).collect()
        })
    }

    /// Returns what has crashed so many endpoints that the request must not be executed:
    /// the request itself or a part of its prompt. A part that this entry has seen answered
    /// lately is not to blame, whatever others report.
    #[must_use]
    pub fn refused_suspect(&self) -> Option<(poison::Subject, ids::Fingerprint)> {
        let snapshot = self.cx.control.snapshot();
        let suspects = &snapshot.suspects;
        if suspects.is_empty() {
            return None;
        }
        let fingerprint = self.fingerprint();
        if suspects.is_refused(fingerprint) {
            return Some((poison::Subject::Request, fingerprint));
        }
        let part = self.part_fingerprints().into_iter().find(|part| {
            suspects.is_refused(*part) && !self.cx.is_proven_part(&self.service, *part)
        })?;
        Some((poison::Subject::PromptPart, part))
    }

    /// Records the refusal of a suspect, in the request's log line and so that it stays
    /// refused while it comes.
    pub(super) fn record_refused_suspect(
        &mut self,
        subject: poison::Subject,
        fingerprint: ids::Fingerprint,
    ) {
        self.trace.note("suspect", &subject);
        self.trace.note("fingerprint", &fingerprint);
        let refused = direct::Event::SuspectRefused(fingerprint);
        self.cx.control.send_or_drop(refused);
    }

    fn suspect(&self) -> poison::Suspect {
        poison::Suspect {
            service: self.service.clone(),
            request: self.fingerprint(),
            parts: self.part_fingerprints(),
            visit: self.visit.clone(),
        }
    }

    /// Probes an endpoint that broke off an attempt, and reports a crash if it accepts no
    /// connection.
    pub(super) fn check_for_crash(
        &self,
        view: &direct::ServiceView,
        endpoint: &direct::EndpointView,
    ) {
        let client = self.client(view, endpoint);
        let endpoint = endpoint.record.id.clone();
        let (cx, suspect) = (Arc::clone(&self.cx), self.suspect());
        self.cx.pools.spawn(async move {
            if client.open_idle().await.is_err() {
                report_crash(&cx, &endpoint, &suspect);
            }
        });
    }

    /// Ends the visit. If it goes unanswered, its crashes are published.
    pub(super) fn end_visit(&mut self) {
        self.visit.end(|| {
            let mut fingerprints = self.part_fingerprints();
            fingerprints.push(self.fingerprint());
            let unanswered = direct::Event::SuspectUnanswered(fingerprints);
            self.cx.control.send_or_drop(unanswered);
        });
    }

    /// Clears the suspicion of a request that was answered, and of the parts of its prompt:
    /// an endpoint that crashed during it did so by coincidence.
    pub fn clear_suspicion(&self) {
        self.visit.answer();
        let parts = self.part_fingerprints();
        self.cx.record_answered_parts(&self.service, &parts);
        let snapshot = self.cx.control.snapshot();
        if snapshot.suspects.is_empty() {
            return;
        }
        for fingerprint in parts.into_iter().chain([self.fingerprint()]) {
            if snapshot.suspects.contains(fingerprint) {
                let cleared = direct::Event::SuspectCleared(fingerprint);
                self.cx.control.send_or_drop(cleared);
            }
        }
    }
}

fn report_crash(cx: &gateway::Cx, endpoint: &ids::EndpointId, suspect: &poison::Suspect) {
    suspect.visit.record_crash(|stage| {
        let parts = cx.suspected_parts(&suspect.service, &suspect.parts);
        let parts = parts
            .into_iter()
            .map(|part| (poison::Subject::PromptPart, part));
        let request = (poison::Subject::Request, suspect.request);
        for (subject, fingerprint) in parts.chain([request]) {
            cx.control.send_or_drop(direct::Event::Crashed {
                subject,
                fingerprint,
                endpoint: endpoint.clone(),
                stage,
            });
        }
    });
}
