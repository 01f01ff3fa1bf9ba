//! Detection of requests, and of parts of prompts, that crash endpoints.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;

use crate::balance;
use crate::direct;
use crate::gateway;
use crate::gateway::call;
use crate::http;
use crate::ids;
use crate::poison;
use crate::runtime;

/// Interval at which an endpoint is looked at that was left while it ran a request. One that
/// has crashed takes longer to return.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which an endpoint ends the work of a request that was left: half a second by the
/// platform's rules, and as much again for a slow one.
const WORK_END: Duration = Duration::from_secs(1);
/// Maximum time for which an endpoint is watched, however late the deadline of a request.
const MAX_WATCH: Duration = Duration::from_secs(5);

/// An execution of a request that its endpoint may go on with.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Endpoint that runs the request.
    pub endpoint: ids::EndpointId,
    /// Client that holds the connections to the endpoint.
    pub client: http::Client,
}

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

    /// Records that the endpoint may run the request from now on.
    pub(super) fn begin_execution(
        &mut self,
        view: &direct::ServiceView,
        endpoint: &direct::EndpointView,
    ) {
        self.running.push(Execution {
            endpoint: endpoint.record.id.clone(),
            client: self.client(view, endpoint),
        });
    }

    /// Removes the execution at an endpoint that has ended it or is given up.
    pub(super) fn end_execution(&mut self, endpoint: &ids::EndpointId) -> Option<Execution> {
        let mut running = self.running.iter();
        let found = running.position(|execution| execution.endpoint == *endpoint)?;
        Some(self.running.swap_remove(found))
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
    /// connection. One that does is watched for a moment, as a process that ends may close the
    /// connection of the request first.
    pub(super) fn check_for_crash(&self, execution: Execution) {
        let (cx, suspect) = (Arc::clone(&self.cx), self.suspect());
        let until = runtime::Moment::now().saturating_add(WORK_END);
        self.cx.pools.spawn(async move {
            match execution.client.reach().await {
                http::Reach::Refuses | http::Reach::Silent => {
                    report_crash(&cx, &execution.endpoint, &suspect);
                    report_crashes(&cx, &execution.endpoint);
                }
                http::Reach::Accepts | http::Reach::Unknown => {
                    watch(&cx, execution, suspect, until).await;
                }
            }
        });
    }

    /// Watches an endpoint that was left while it may go on to run the request, and reports a
    /// crash if its host refuses connections. A path that fails is no crash.
    pub(super) fn watch_for_crash(&self, execution: Execution) {
        let (cx, suspect) = (Arc::clone(&self.cx), self.suspect());
        let until = execution_end(self.deadline);
        self.cx
            .pools
            .spawn(async move { watch(&cx, execution, suspect, until).await });
    }

    /// Ends the visit. If it goes unanswered, its crashes are published, and the endpoints that
    /// may still run the request are watched.
    pub(super) fn end_visit(&mut self) {
        if self.visit.is_answered() {
            return;
        }
        self.visit.end(|| {
            let mut fingerprints = self.part_fingerprints();
            fingerprints.push(self.fingerprint());
            let unanswered = direct::Event::SuspectUnanswered(fingerprints);
            self.cx.control.send_or_drop(unanswered);
        });
        for execution in std::mem::take(&mut self.running) {
            self.watch_for_crash(execution);
        }
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

/// Returns the time until which an endpoint may go on with a request that is left now and has
/// this deadline, which the endpoint was told.
fn execution_end(deadline: Instant) -> runtime::Moment {
    let left = deadline.saturating_duration_since(Instant::now());
    let watch = (left + WORK_END).min(MAX_WATCH);
    runtime::Moment::now().saturating_add(watch)
}

/// Adds an execution to those that were given up, and looks at its endpoint until all of them
/// are over.
async fn watch(
    cx: &gateway::Cx,
    execution: Execution,
    suspect: poison::Suspect,
    until: runtime::Moment,
) {
    let Execution { endpoint, client } = execution;
    let mut checked = runtime::Moment::now();
    let is_first = cx.with_doubts(|doubts| doubts.add(&endpoint, suspect, until));
    if !is_first {
        return;
    }
    loop {
        Timer::after(WATCH_INTERVAL).await;
        if !cx.with_doubts(|doubts| doubts.retain(&endpoint, checked)) {
            return;
        }
        checked = runtime::Moment::now();
        if !client.has_open_idle() && client.reach().await == http::Reach::Refuses {
            report_crashes(cx, &endpoint);
            return;
        }
    }
}

/// Reports all that was given up at an endpoint that has crashed.
fn report_crashes(cx: &gateway::Cx, endpoint: &ids::EndpointId) {
    for suspect in cx.with_doubts(|doubts| doubts.take(endpoint)) {
        report_crash(cx, endpoint, &suspect);
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
