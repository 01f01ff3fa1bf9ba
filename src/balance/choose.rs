//! Endpoint selection as a pure function of the snapshot and the query.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::direct;
use crate::ids;
use crate::route;
use crate::runtime;
use crate::units;

/// Endpoints considered for a prompt's shared prefix before the score alone decides.
const AFFINITY_CANDIDATES: usize = 2;
/// Multiple of the mean load above which an endpoint is too busy for affinity.
const AFFINITY_MAX_LOAD_FACTOR: f64 = 1.6;
/// Requests added to that limit, so that small loads do not break affinity.
const AFFINITY_LOAD_SLACK_REQUESTS: f64 = 4.0;
/// Multiple of the mean expected time to first byte above which an endpoint is
/// too busy for affinity. With a lower value, reading prompts again at another
/// endpoint costs more than the shorter wait saves.
const AFFINITY_MAX_WAIT_FACTOR: f64 = 2.5;
/// Time added to that limit: about what the largest model takes to read a long prompt.
const AFFINITY_WAIT_SLACK: Duration = Duration::from_millis(300);
/// Pending prompt tokens that weigh as much as one request in the load.
const PENDING_TOKENS_PER_REQUEST: f64 = 4_000.0;
/// Cost of a path to another failure domain, as a load relative to the slots.
const CROSS_DOMAIN_PENALTY: f64 = 0.08;
/// Weight of an endpoint's failure rate in its score.
const FAILURE_PENALTY_FACTOR: f64 = 4.0;

/// Constraint on the endpoint version that a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFilter<'a> {
    /// Every version is allowed.
    Any,
    /// Only this version is allowed.
    Only(&'a ids::VersionName),
    /// Every version except this one is allowed.
    Not(&'a ids::VersionName),
}

impl VersionFilter<'_> {
    fn allows(self, version: &ids::VersionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(required) => version == required,
            Self::Not(excluded) => version != excluded,
        }
    }
}

/// Inputs of one endpoint selection.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Versions that may execute the request.
    pub version: VersionFilter<'a>,
    /// Fingerprint of the prompt prefix that an endpoint may have cached;
    /// `None` selects by score alone.
    pub affinity: Option<ids::Fingerprint>,
    /// Endpoints excluded because an earlier attempt used them.
    pub tried: &'a [ids::EndpointId],
    /// Failure domain of this entry; endpoints in it are preferred.
    pub domain: &'a ids::DomainName,
    /// Requests per second that this entry may send to a cold endpoint; `None`
    /// means no limit.
    pub cold_rate: Option<units::Rate>,
    /// Time of the selection.
    pub now: runtime::Moment,
}

/// Why an endpoint was selected; written to the request log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ChoiceReason {
    /// Ranked for the prompt's shared prefix, which it has probably cached.
    Affinity,
    /// Has the lowest score, i.e. is expected to answer first.
    Score,
    /// No eligible endpoint is healthy; it has the lowest score among all of them.
    LastResort,
}

/// The selected endpoint, with the figures behind the selection for the request log.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Endpoint to which the request is sent.
    pub endpoint: Arc<direct::EndpointView>,
    /// Criterion that decided the selection.
    pub reason: ChoiceReason,
    /// Number of endpoints in the service.
    pub total: usize,
    /// Endpoints with an allowed version that have not been tried and admit a request now.
    pub eligible: usize,
    /// Eligible endpoints that are neither suspended after failures nor silent.
    pub healthy: usize,
    /// Requests running or queued at the endpoint.
    pub load: u32,
    /// Age of the endpoint's load report; `None` where `load` counts only this
    /// entry's own requests.
    pub load_age: Option<Duration>,
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            reason,
            total,
            eligible,
            healthy,
            load,
            ..
        } = self;
        write!(
            f,
            "{reason}, {healthy} well of {eligible} open of {total}, load {load}"
        )?;
        match self.load_age {
            Some(age) => write!(f, " reported {} ms ago", age.as_millis()),
            None => write!(f, " own only"),
        }
    }
}

/// Selects one of `endpoints`; `None` when no endpoint is eligible.
#[must_use]
pub fn choose(endpoints: &[Arc<direct::EndpointView>], query: &Query<'_>) -> Option<Choice> {
    let eligible: Vec<_> = endpoints
        .iter()
        .filter(|endpoint| is_eligible(endpoint, query))
        .collect();
    let healthy: Vec<_> = eligible
        .iter()
        .copied()
        .filter(|endpoint| {
            !endpoint.live.is_suspended(query.now) && !endpoint.live.is_silent(query.now)
        })
        .collect();
    // An unhealthy endpoint is better than refusing the request.
    let (candidates, default_reason) = if healthy.is_empty() {
        (&eligible, ChoiceReason::LastResort)
    } else {
        (&healthy, ChoiceReason::Score)
    };
    let (endpoint, reason) = query
        .affinity
        .and_then(|prefix| choose_by_affinity(candidates, prefix, query.now))
        .map(|endpoint| (endpoint, ChoiceReason::Affinity))
        .or_else(|| Some((choose_by_score(candidates, query)?, default_reason)))?;
    Some(Choice {
        reason,
        total: endpoints.len(),
        eligible: eligible.len(),
        healthy: healthy.len(),
        load: endpoint.live.load(query.now),
        load_age: endpoint.live.load_age(query.now),
        endpoint: Arc::clone(endpoint),
    })
}

fn is_eligible(endpoint: &direct::EndpointView, query: &Query<'_>) -> bool {
    query.version.allows(&endpoint.record.version)
        && !query.tried.contains(&endpoint.record.id)
        && endpoint
            .live
            .admits(endpoint.cold_until, query.cold_rate, query.now)
}

/// Requests at an endpoint plus its pending prompt tokens, in units of requests.
fn weighted_load(endpoint: &direct::EndpointView, now: runtime::Moment) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let pending = endpoint.live.pending_tokens() as f64;
    f64::from(endpoint.live.load(now)) + pending / PENDING_TOKENS_PER_REQUEST
}

fn choose_by_affinity<'a>(
    candidates: &[&'a Arc<direct::EndpointView>],
    prefix: ids::Fingerprint,
    now: runtime::Moment,
) -> Option<&'a Arc<direct::EndpointView>> {
    #[allow(clippy::cast_precision_loss)]
    let count = candidates.len().max(1) as f64;
    let mean = candidates
        .iter()
        .map(|endpoint| weighted_load(endpoint, now))
        .sum::<f64>()
        / count;
    let max_load = mean.mul_add(AFFINITY_MAX_LOAD_FACTOR, AFFINITY_LOAD_SLACK_REQUESTS);
    let expected =
        |endpoint: &direct::EndpointView| endpoint.live.expected_first_byte(now).as_secs_f64();
    let mean = candidates
        .iter()
        .map(|endpoint| expected(endpoint))
        .sum::<f64>()
        / count;
    let max_wait = mean.mul_add(AFFINITY_MAX_WAIT_FACTOR, AFFINITY_WAIT_SLACK.as_secs_f64());
    let mut ranked = candidates.to_vec();
    ranked.sort_by_cached_key(|endpoint| {
        std::cmp::Reverse(route::rank_of(prefix, endpoint.record.id.as_str()))
    });
    ranked
        .into_iter()
        .take(AFFINITY_CANDIDATES)
        .find(|endpoint| weighted_load(endpoint, now) <= max_load && expected(endpoint) <= max_wait)
}

fn choose_by_score<'a>(
    candidates: &[&'a Arc<direct::EndpointView>],
    query: &Query<'_>,
) -> Option<&'a Arc<direct::EndpointView>> {
    candidates
        .iter()
        .copied()
        .min_by(|a, b| score(a, query).total_cmp(&score(b, query)))
}

/// Relative expected time to an answer; lower is better.
fn score(endpoint: &direct::EndpointView, query: &Query<'_>) -> f64 {
    let slots = f64::from(endpoint.record.slots.max(1));
    let domain_penalty = if endpoint.record.domain == *query.domain {
        0.0
    } else {
        CROSS_DOMAIN_PENALTY
    };
    let first_byte = endpoint.live.expected_first_byte(query.now);
    let load = weighted_load(endpoint, query.now) / slots;
    let failure_penalty = endpoint.live.failure_share() * FAILURE_PENALTY_FACTOR;
    first_byte.as_secs_f64().max(0.001) * (1.0 + load + domain_penalty + failure_penalty)
}
