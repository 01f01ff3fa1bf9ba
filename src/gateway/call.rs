//! A request in progress, and the rules by which it is retried.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Bytes;
use hyper::{HeaderMap, Method};

use crate::balance;
use crate::cascade;
use crate::catalog;
use crate::direct;
use crate::gateway;
use crate::gateway::{outcomes, pace, standby, trace};
use crate::http;
use crate::ids;
use crate::poison;
use crate::rollout;
use crate::room;
use crate::route;
use crate::runtime;
use crate::units;

/// Maximum time for which a request waits for a cold endpoint, as a fraction of the latency
/// objective of its route.
const COLD_WAIT_FRACTION: f64 = 0.25;

/// Limits on the attempts of a request, for one kind of answer.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Attempt timeout as a multiple of the route's latency objective.
    pub objective_factor: f64,
    /// Minimum attempt timeout as a multiple of the endpoint's mean time to the first
    /// byte.
    pub mean_first_byte_factor: f64,
    /// Maximum number of attempts refused as not run before the request is refused.
    pub max_refusals: usize,
    /// Minimum time left to the deadline for another attempt.
    pub min_time_left: Duration,
}

/// A request with the state of its attempts.
#[derive(Debug)]
pub struct Call {
    /// Context that all requests share.
    pub cx: Arc<gateway::Cx>,
    /// Id that the caller gave to this attempt of its own.
    pub id: Arc<str>,
    /// HTTP method as received.
    pub method: Method,
    /// Path and query as received.
    pub target: Arc<str>,
    /// Headers as received from the caller.
    pub headers: HeaderMap,
    /// Complete body as received.
    pub body: Bytes,
    /// Metadata decoded from the headers.
    pub metadata: gateway::RequestMetadata,
    /// Route that the request matches.
    pub rule: Arc<catalog::RouteRule>,
    /// Service that the route selects for the request.
    pub service: ids::ServiceName,
    /// Team of the caller; `None` on an anonymous route.
    pub team: Option<ids::TeamName>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Regions in which the request may be executed, by its route and team.
    pub regions: catalog::AllowedRegions,
    /// Time at which the head of the request had arrived.
    pub arrived: Instant,
    /// Time at which the answer must be complete.
    pub deadline: Instant,
    /// Endpoints that were tried with the model in use; not chosen again.
    pub tried: Vec<ids::EndpointId>,
    /// Endpoints that refused the request as not run. They are not chosen again with another
    /// model either: a repeated refusal could not be told from the answer to it.
    pub refused_by: Vec<ids::EndpointId>,
    /// Number of attempts that endpoints refused as not run, without unreachable
    /// endpoints.
    pub refusals: usize,
    /// Number of attempts that an endpoint may have executed.
    pub attempts: u16,
    /// Index of the model in use among the models of the route; 0 is the smallest.
    pub model: usize,
    /// Executions that endpoints may go on with.
    pub running: Vec<gateway::Execution>,
    /// Life cycle of the visit, which checks for crashes share.
    pub visit: poison::VisitHandle,
    /// Outcomes of its attempts, as evidence for a rollout.
    pub outcomes: outcomes::Outcomes,
    /// Record of the request for the log.
    pub trace: trace::Trace,
}

impl Call {
    /// Returns the time left until the answer must be complete.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the service's endpoints from the current snapshot; `None` if the service
    /// is unknown.
    #[must_use]
    pub fn view(&self) -> Option<Arc<direct::ServiceView>> {
        let snapshot = self.cx.control.snapshot();
        snapshot.services.get(&self.service).cloned()
    }

    /// Returns whether a retry is allowed after an attempt that may have been executed.
    #[must_use]
    pub fn may_retry(&self) -> bool {
        self.rule.kind.is_retryable()
            && self.attempts < self.rule.max_attempts
            && self.refused_suspect().is_none()
    }

    /// Returns whether no other attempt may follow the one that begins now.
    #[must_use]
    pub fn is_last_attempt(&self) -> bool {
        !self.rule.kind.is_retryable() || self.attempts + 1 >= self.rule.max_attempts
    }

    /// Takes a retry for a request that may have been executed. Returns false if it must
    /// not be retried, too little time is left or the budget is used up.
    #[must_use]
    pub fn take_retry(&self, limits: &RetryLimits) -> bool {
        self.may_retry() && self.has_time(limits) && self.charge_retry()
    }

    /// Takes a retry after an endpoint has not executed the request. An endpoint that
    /// could not be reached has borne no load, so the retry is not charged to the budget.
    #[must_use]
    pub fn take_retry_elsewhere(
        &mut self,
        failure: balance::Failure,
        limits: &RetryLimits,
    ) -> bool {
        if self.refused_suspect().is_some() {
            return false;
        }
        if failure == balance::Failure::Unreachable {
            return self.has_time(limits);
        }
        self.refusals += 1;
        self.refusals <= limits.max_refusals && self.has_time(limits) && self.charge_retry()
    }

    /// Takes a retry that only improves the answer, with a larger model.
    #[must_use]
    pub fn take_optional_retry(&self, limits: &RetryLimits) -> bool {
        self.may_retry()
            && self.has_time(limits)
            && self
                .cx
                .take_optional_retry(&self.service, runtime::Moment::now())
    }

    fn has_time(&self, limits: &RetryLimits) -> bool {
        self.time_left() >= limits.min_time_left
    }

    fn charge_retry(&self) -> bool {
        self.cx.take_retry(&self.service, runtime::Moment::now())
    }

    /// Returns how long to wait for an endpoint before a retry on another. The last
    /// attempt waits until the deadline.
    #[must_use]
    pub fn attempt_timeout(
        &self,
        endpoint: &direct::EndpointView,
        limits: &RetryLimits,
    ) -> Duration {
        let left = self.time_left();
        if self.is_last_attempt() {
            return left;
        }
        let usual = endpoint.live.mean_first_byte().unwrap_or_default();
        let objective = self.rule.objective.duration();
        objective
            .mul_f64(limits.objective_factor)
            .max(usual.mul_f64(limits.mean_first_byte_factor))
            .min(left)
    }

    /// Returns the model that the router chose; `None` if the caller does not leave the
    /// choice to it or the route has no models.
    #[must_use]
    pub fn chosen_model(&self) -> Option<&ids::ModelName> {
        if self.metadata.model == gateway::RequestedModel::Any {
            cascade::Cascade::new(&self.rule.models).model(self.model)
        } else {
            None
        }
    }

    /// Chooses an endpoint; `None` if no endpoint may be sent the request now.
    #[must_use]
    pub fn choose(&self, view: &direct::ServiceView) -> Option<balance::Choice> {
        self.choose_for(view, self.model, &self.tried)
    }

    /// Chooses an endpoint outside of `full`, or any where none is left; `None` if no endpoint
    /// may be sent the request now.
    #[must_use]
    pub fn choose_outside(
        &self,
        view: &direct::ServiceView,
        full: &[ids::EndpointId],
    ) -> Option<balance::Choice> {
        if full.is_empty() {
            return self.choose(view);
        }
        let left_out: Vec<_> = self.tried.iter().chain(full).cloned().collect();
        self.choose_for(view, self.model, &left_out)
            .or_else(|| self.choose(view))
    }

    /// Returns the share of the endpoints' places on which this entry may count.
    #[must_use]
    pub fn share(&self) -> units::Share {
        self.cx.control.snapshot().share.of_connections()
    }

    /// Returns the request as it asks for a place.
    #[must_use]
    pub fn ask(&self) -> room::Ask {
        let objective = self.rule.objective.duration();
        room::Ask {
            priority: self.priority,
            team: self.team.clone(),
            objective,
            objective_left: objective.saturating_sub(self.arrived.elapsed()),
            time_left: self.time_left(),
        }
    }

    /// Returns when the endpoint takes a request, by what it has said of itself and how its
    /// last requests ended.
    #[must_use]
    pub fn opening(
        &self,
        view: &direct::ServiceView,
        endpoint: &direct::EndpointView,
        now: runtime::Moment,
    ) -> room::Opening {
        let reopening = |hold| match hold {
            balance::Hold::Leaving => room::Opening::Never,
            balance::Hold::Paused(until) | balance::Hold::Rising(until) => room::Opening::At(until),
            balance::Hold::Failed(_) | balance::Hold::Probed(_) | balance::Hold::Silent => {
                room::Opening::Unknown
            }
        };
        let max_delay = self.rule.objective.duration().mul_f64(COLD_WAIT_FRACTION);
        let permit_delay = endpoint.permit_delay(&self.shared_rates(view, now), now);
        match endpoint.admission(self.share(), now) {
            balance::Admission::Open => {}
            balance::Admission::Closed(hold) => return reopening(hold),
            balance::Admission::LastResort(hold) => {
                // The choice tries it now, unless it has a rate and no permit is due soon.
                let is_tried = permit_delay.is_some_and(|delay| delay <= max_delay);
                return match reopening(hold) {
                    room::Opening::At(until) if is_tried => room::Opening::LastResort(Some(until)),
                    room::Opening::Unknown if is_tried => room::Opening::LastResort(None),
                    opening => opening,
                };
            }
        }
        match permit_delay {
            None => room::Opening::Unknown,
            // A short delay is served by the choice, in the order of its permits.
            Some(delay) if delay <= max_delay => room::Opening::Now,
            Some(delay) => room::Opening::At(now.saturating_add(delay)),
        }
    }

    /// Returns the endpoint that would run the request with the model of this index, and its
    /// forecast; `None` if no endpoint may be sent the request now.
    #[must_use]
    pub fn forecast_with(
        &self,
        view: &direct::ServiceView,
        model: usize,
    ) -> Option<balance::Choice> {
        self.choose_for(view, model, &[])
    }

    /// Returns how long an answer of a smaller model, with this confidence, is held back.
    #[must_use]
    pub fn hold(&self, confidence: f64) -> standby::Hold {
        standby::Hold {
            cx: Arc::clone(&self.cx),
            service: self.service.clone(),
            confidence,
            objective: self.rule.objective.duration(),
            arrived: self.arrived,
            deadline: self.deadline,
        }
    }

    fn choose_for(
        &self,
        view: &direct::ServiceView,
        model: usize,
        tried: &[ids::EndpointId],
    ) -> Option<balance::Choice> {
        let now = runtime::Moment::now();
        let filters = self.version_filters(view, now);
        let settings = self.cx.settings();
        let rates = self.shared_rates(view, now);
        let max_delay = self.rule.objective.duration().mul_f64(COLD_WAIT_FRACTION);
        let reading = self.reading(model);
        let speed = self.cx.writing_speed(&self.service);
        filters.into_iter().flatten().find_map(|version| {
            let query = balance::Query {
                version,
                reading,
                regions: &self.regions,
                region: settings.regions.get(&settings.domain),
                tried,
                domain: &settings.domain,
                rates: &rates,
                share: self.share(),
                max_delay,
                writing: self.writing(&speed).unwrap_or_default(),
                event_gap: speed.gap(),
                time_left: self.time_left(),
                spread: ids::Fingerprint::fnv1a(&self.id),
                now,
            };
            balance::choose(&view.endpoints, &query)
        })
    }

    /// Returns the rates over all entries at the endpoints of the service.
    fn shared_rates(
        &self,
        view: &direct::ServiceView,
        now: runtime::Moment,
    ) -> balance::SharedRates {
        balance::SharedRates {
            cold: view.upstream.cold_start.map(|cold| cold.rate),
            leases: self.cx.control.snapshot().leases(now),
            entry: ids::Fingerprint::fnv1a(self.cx.settings().vm.as_str()),
        }
    }

    /// Returns the prompt as read by the model with this index; `None` for a request
    /// without one.
    #[must_use]
    pub fn reading(&self, model: usize) -> Option<balance::Reading<'_>> {
        let prompt = self.metadata.prompt.as_ref()?;
        let speed = self.cx.reading_speed(&self.service, model);
        Some(balance::Reading {
            prompt,
            model,
            speed,
        })
    }

    /// Returns the time in which an engine of usual speed writes the answer; `None` if the
    /// caller states no length, or the service has completed no answer yet.
    fn writing(&self, speed: &balance::WritingSpeed) -> Option<Duration> {
        speed.time(speed.events(self.metadata.output?)?)
    }

    /// Returns the version filters in order of preference; the first with an available
    /// endpoint applies.
    fn version_filters<'a>(
        &self,
        view: &'a direct::ServiceView,
        now: runtime::Moment,
    ) -> [Option<balance::VersionFilter<'a>>; 2] {
        use balance::VersionFilter::{Any, Not, Only};
        let canary = match &view.split {
            direct::VersionSplit::All => return [Some(Any), None],
            direct::VersionSplit::StageUnknown(target) => return [Some(Not(target)), Some(Any)],
            direct::VersionSplit::Canary(canary) => canary,
        };
        let target = canary.target();
        match canary {
            rollout::AnyCanary::Completed(_) => [Some(Only(target)), Some(Any)],
            rollout::AnyCanary::RolledBack(_) => [Some(Not(target)), None],
            rollout::AnyCanary::Probing(_) | rollout::AnyCanary::Ramping(_) => {
                if self.uses_target_version(canary, now) {
                    [Some(Only(target)), Some(Any)]
                } else {
                    [Some(Not(target)), Some(Any)]
                }
            }
        }
    }

    /// Returns whether the request belongs to the canary's share. Entries do not
    /// coordinate, so the hash of the session id alone keeps a session on one version. A
    /// retry without a session goes to the proven version, and so tells whether the new
    /// version or the request was at fault.
    fn uses_target_version(&self, canary: &rollout::AnyCanary, now: runtime::Moment) -> bool {
        if self.metadata.session.is_none() && !self.tried.is_empty() {
            return false;
        }
        let (seed, share) = match self.metadata.session {
            Some(session) => (session, canary.session_share(now)),
            None => (ids::Fingerprint::fnv1a(&self.id), canary.share(now)),
        };
        #[allow(clippy::cast_precision_loss)]
        let position = route::mix(seed.0) as f64 / u64::MAX as f64;
        position < share.get()
    }

    /// Returns the time until the first endpoint of the service takes requests again; `None`
    /// unless all of them pause, are cold or leave.
    #[must_use]
    pub fn earliest_return(&self) -> Option<Duration> {
        let view = self.view()?;
        let now = runtime::Moment::now();
        let rates = self.shared_rates(&view, now);
        let share = self.share();
        let mut earliest: Option<Duration> = None;
        for endpoint in &view.endpoints {
            let held = match endpoint.admission(share, now) {
                balance::Admission::Closed(
                    balance::Hold::Paused(until) | balance::Hold::Rising(until),
                ) => until.saturating_since(now),
                balance::Admission::Closed(_) => continue,
                balance::Admission::Open | balance::Admission::LastResort(_) => Duration::ZERO,
            };
            let left = match endpoint.permit_delay(&rates, now) {
                Some(delay) => delay.max(held),
                None => continue,
            };
            if left.is_zero() {
                return None;
            }
            earliest = Some(earliest.map_or(left, |other| other.min(left)));
        }
        earliest
    }

    /// Returns the pooled client of an endpoint.
    #[must_use]
    pub fn client(
        &self,
        view: &direct::ServiceView,
        endpoint: &direct::EndpointView,
    ) -> http::Client {
        let share = self.share();
        let limit = view.upstream.max_connections;
        self.cx.pools.client(&endpoint.record, limit, share)
    }

    /// Records an attempt without a complete answer. The endpoint may have restarted, and
    /// counts as cold.
    pub fn record_failed_attempt(
        &mut self,
        view: &direct::ServiceView,
        endpoint: &direct::EndpointView,
        failure: balance::Failure,
    ) {
        let now = runtime::Moment::now();
        let cold = view.upstream.cold_duration();
        endpoint.live.record_failure(failure, cold, now);
        pace::report(endpoint);
        self.observe(view, endpoint, rollout::AttemptOutcome::Failed);
        if let Some(execution) = self.end_execution(&endpoint.record.id) {
            if failure == balance::Failure::Broken {
                self.check_for_crash(execution);
            } else {
                self.watch_for_crash(execution);
            }
        }
    }

    /// Records the outcome of an attempt as evidence about the endpoint's version.
    pub fn observe(
        &mut self,
        view: &direct::ServiceView,
        endpoint: &direct::EndpointView,
        outcome: rollout::AttemptOutcome,
    ) {
        if let Some(evidence) = &view.evidence {
            let sample = self.sample(endpoint, outcome);
            self.outcomes.add(evidence, sample);
        }
    }

    /// Begins to wait for the head of an answer; `None` without a rollout.
    #[must_use]
    pub fn begin_waiting(
        &self,
        view: &direct::ServiceView,
        endpoint: &direct::EndpointView,
    ) -> Option<outcomes::Waiting> {
        let evidence = view.evidence.as_ref()?;
        let waiting = rollout::AttemptOutcome::Abandoned(Duration::ZERO);
        let sample = self.sample(endpoint, waiting);
        Some(outcomes::Waiting::begin(evidence, sample))
    }

    fn sample(
        &self,
        endpoint: &direct::EndpointView,
        outcome: rollout::AttemptOutcome,
    ) -> direct::Sample {
        direct::Sample {
            route: self.rule.name.clone(),
            version: endpoint.record.version.clone(),
            endpoint: endpoint.record.id.clone(),
            model: self.chosen_model().cloned(),
            outcome,
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.end_visit();
    }
}
