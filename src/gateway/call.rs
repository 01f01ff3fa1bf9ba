//! One request on its way: what it is, and what has been tried for it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Bytes;
use hyper::{HeaderMap, Method};

use crate::balance;
use crate::cascade;
use crate::catalog;
use crate::direct;
use crate::gateway;
use crate::gateway::trace;
use crate::http;
use crate::ids;
use crate::rollout;
use crate::route;
use crate::runtime;
use crate::units;

/// When a request is repeated, for one kind of answer.
#[derive(Clone, Copy, Debug)]
pub struct RepeatLimits {
    /// Objectives that are waited for an answer before another endpoint is asked.
    pub patience_objectives: f64,
    /// The endpoint's usual time to the first byte, this many times, is waited for at least.
    pub patience_usual: f64,
    /// Attempts that are refused as not run before the request is refused.
    pub max_refusals: usize,
    /// Least time for another attempt.
    pub min_time_left: Duration,
}

/// A request with its progress.
#[derive(Debug)]
pub struct Call {
    /// Shared context.
    pub cx: Arc<gateway::Cx>,
    /// Id of the caller's attempt.
    pub id: Arc<str>,
    /// Method as received.
    pub method: Method,
    /// Path and query as received.
    pub target: Arc<str>,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// What the headers say.
    pub facts: gateway::RequestFacts,
    /// The route.
    pub rule: Arc<catalog::RouteRule>,
    /// The service.
    pub service: ids::ServiceName,
    /// The caller's team.
    pub team: Option<ids::TeamName>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When the answer must be complete.
    pub ends: Instant,
    /// Endpoints that were tried.
    pub tried: Vec<ids::EndpointId>,
    /// Endpoints that refused it.
    pub refusals: usize,
    /// Runs that may have happened.
    pub runs: u16,
    /// Index of the model in use on a route with several.
    pub model: usize,
    /// Record for the log.
    pub trace: trace::Trace,
}

impl Call {
    /// Time until the answer must be complete.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.ends.saturating_duration_since(Instant::now())
    }

    /// The service's endpoints as they are now.
    #[must_use]
    pub fn view(&self) -> Option<Arc<direct::ServiceView>> {
        let snapshot = self.cx.control.snapshot();
        snapshot.services.get(&self.service).cloned()
    }

    /// Whether another run is allowed after one that may have happened.
    #[must_use]
    pub fn may_run_again(&self) -> bool {
        self.rule.kind.is_repeatable()
            && self.runs < self.rule.max_attempts
            && !self.crashes_endpoints()
    }

    /// Whether no other run may follow the one that begins now.
    #[must_use]
    pub fn is_last_run(&self) -> bool {
        !self.rule.kind.is_repeatable() || self.runs + 1 >= self.rule.max_attempts
    }

    /// Takes a repeat for a request that may have run; false where it may not
    /// run again, too little time is left or the budget is used up.
    #[must_use]
    pub fn try_run_again(&self, limits: &RepeatLimits) -> bool {
        self.may_run_again() && self.has_time(limits) && self.try_repeat()
    }

    /// Takes a repeat after an endpoint has not run the request. One that could
    /// not be reached has borne no load, so another try is free.
    #[must_use]
    pub fn try_elsewhere(&mut self, failure: balance::Failure, limits: &RepeatLimits) -> bool {
        if failure == balance::Failure::Unreachable {
            return self.has_time(limits);
        }
        self.refusals += 1;
        self.refusals <= limits.max_refusals && self.has_time(limits) && self.try_repeat()
    }

    /// Takes a repeat that only makes the answer better.
    #[must_use]
    pub fn try_better(&self, limits: &RepeatLimits) -> bool {
        self.may_run_again()
            && self.has_time(limits)
            && self.cx.try_optional(&self.service, runtime::Moment::now())
    }

    fn has_time(&self, limits: &RepeatLimits) -> bool {
        self.time_left() >= limits.min_time_left
    }

    fn try_repeat(&self) -> bool {
        self.cx.try_repeat(&self.service, runtime::Moment::now())
    }

    /// How long to wait for the answer of an endpoint before another is asked.
    #[must_use]
    pub fn patience(&self, endpoint: &direct::EndpointView, limits: &RepeatLimits) -> Duration {
        let left = self.time_left();
        if self.is_last_run() {
            return left;
        }
        let usual = endpoint.live.mean_first().unwrap_or_default();
        let objective = self.rule.objective.duration();
        objective
            .mul_f64(limits.patience_objectives)
            .max(usual.mul_f64(limits.patience_usual))
            .min(left)
    }

    /// Model that the router chooses; `None` where the caller's holds.
    #[must_use]
    pub fn chosen_model(&self) -> Option<&ids::ModelName> {
        if self.facts.model == gateway::WantedModel::Any {
            cascade::Ladder::new(&self.rule.models).model(self.model)
        } else {
            None
        }
    }

    /// Chooses an endpoint; `None` where none may be sent a request now.
    #[must_use]
    pub fn choose(&self, view: &direct::ServiceView) -> Option<balance::Choice> {
        let now = runtime::Moment::now();
        let wishes = self.version_wishes(view, now);
        let settings = self.cx.settings();
        let entries = f64::from(settings.assumed_entries());
        let cold_rate = view
            .upstream
            .cold_start
            .map(|cold| units::Rate::clamped(cold.rate.get() / entries));
        let affinity = self.affinity();
        wishes.into_iter().flatten().find_map(|version| {
            let ask = balance::Ask {
                version,
                affinity,
                tried: &self.tried,
                domain: &settings.domain,
                cold_rate,
                now,
            };
            balance::choose(&view.endpoints, &ask)
        })
    }

    /// Fingerprint of what an endpoint may have read already, for this model.
    fn affinity(&self) -> Option<ids::Fingerprint> {
        let shared = self.facts.prompt.as_ref()?.shared()?;
        let model = u64::try_from(self.model).unwrap_or_default();
        Some(ids::Fingerprint(route::mix(shared.id.0 ^ model)))
    }

    /// Versions that the request may use, the first that has an endpoint.
    fn version_wishes<'a>(
        &self,
        view: &'a direct::ServiceView,
        now: runtime::Moment,
    ) -> [Option<balance::VersionWish<'a>>; 2] {
        use balance::VersionWish::{Any, Not, Only};
        let canary = match &view.split {
            direct::VersionSplit::All => return [Some(Any), None],
            direct::VersionSplit::Unsettled(target) => return [Some(Not(target)), Some(Any)],
            direct::VersionSplit::Canary(canary) => canary,
        };
        let target = canary.target();
        match canary {
            rollout::AnyCanary::Completed(_) => [Some(Only(target)), Some(Any)],
            rollout::AnyCanary::RolledBack(_) => [Some(Not(target)), None],
            rollout::AnyCanary::Probing(_) | rollout::AnyCanary::Ramping(_) => {
                if self.goes_to_target(canary, now) {
                    [Some(Only(target)), Some(Any)]
                } else {
                    [Some(Not(target)), Some(Any)]
                }
            }
        }
    }

    /// Entries see requests of one session without knowing of each other's, so
    /// only a hash of the session keeps it on one version.
    fn goes_to_target(&self, canary: &rollout::AnyCanary, now: runtime::Moment) -> bool {
        let (seed, share) = match self.facts.session {
            Some(session) => (session, canary.session_share(now)),
            None => (ids::Fingerprint::of_text(&self.id), canary.share(now)),
        };
        #[allow(clippy::cast_precision_loss)]
        let place = route::mix(seed.0) as f64 / u64::MAX as f64;
        place < share.get()
    }

    /// The client of an endpoint.
    #[must_use]
    pub fn client(
        &self,
        view: &direct::ServiceView,
        endpoint: &direct::EndpointView,
    ) -> http::Client {
        let entries = self.cx.settings().assumed_entries();
        let limit = view.upstream.max_connections;
        self.cx.lanes.client(&endpoint.record, limit, entries)
    }

    /// Records a run that has brought no whole answer. The endpoint may have
    /// started again, and is taken for cold.
    pub fn run_failed(
        &self,
        view: &direct::ServiceView,
        endpoint: &direct::EndpointView,
        failure: balance::Failure,
    ) {
        let now = runtime::Moment::now();
        let cold = view.upstream.cold_span();
        endpoint.live.failed(failure, cold, now);
        self.observe(view, endpoint, false, None);
        if failure == balance::Failure::Broken {
            self.suspect_crash(view, endpoint);
        }
    }

    /// Records what a run has shown of an endpoint's version.
    pub fn observe(
        &self,
        view: &direct::ServiceView,
        endpoint: &direct::EndpointView,
        answered: bool,
        first: Option<Duration>,
    ) {
        if let Some(evidence) = &view.evidence {
            evidence.add(direct::Sample {
                route: self.rule.name.clone(),
                version: endpoint.record.version.clone(),
                model: self.chosen_model().cloned(),
                answered,
                first,
            });
        }
    }
}
