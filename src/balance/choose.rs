//! The pure choice of an endpoint.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::direct;
use crate::ids;
use crate::route;
use crate::runtime;
use crate::units;

/// Endpoints that are tried for a prompt's shared part before load alone decides.
const AFFINITY_PLACES: usize = 2;
/// Load over the mean at which an endpoint is too busy for affinity.
const BUSY_FACTOR: f64 = 1.6;
/// Requests over the mean at which an endpoint is too busy for affinity.
const BUSY_SLACK: f64 = 4.0;
/// Expected time to the first byte over the mean at which an endpoint is too
/// busy for affinity; at less, more is read again than the shorter wait saves.
const SLOW_FACTOR: f64 = 2.5;
/// The same in time: about what the largest model takes to read a long prompt.
const SLOW_SLACK: Duration = Duration::from_millis(300);
/// Pending prompt tokens that count as one request in the load.
const TOKENS_PER_REQUEST: f64 = 4_000.0;
/// Load that a way to another failure domain costs, as a part of the slots.
const FAR_PENALTY: f64 = 0.08;
/// Part by which failures raise the score of an endpoint.
const FAILURE_PENALTY: f64 = 4.0;

/// Which versions a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionWish<'a> {
    /// Any.
    Any,
    /// This one.
    Only(&'a ids::VersionName),
    /// Any but this one.
    Not(&'a ids::VersionName),
}

impl VersionWish<'_> {
    fn allows(self, version: &ids::VersionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(wanted) => version == wanted,
            Self::Not(unwanted) => version != unwanted,
        }
    }
}

/// What an endpoint is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Which versions may run it.
    pub version: VersionWish<'a>,
    /// Shared part of the prompt that an endpoint may have read already.
    pub affinity: Option<ids::Fingerprint>,
    /// Endpoints that have been tried.
    pub tried: &'a [ids::EndpointId],
    /// Failure domain of this entry.
    pub domain: &'a ids::DomainName,
    /// Requests a second that this entry may send to a cold endpoint.
    pub cold_rate: Option<units::Rate>,
    /// The moment.
    pub now: runtime::Moment,
}

/// What decided for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Ground {
    /// It has read the prompt's shared part.
    Affinity,
    /// It is expected to answer first.
    Score,
    /// All that are open have failed lately; it is expected to answer first among them.
    LastResort,
}

/// A chosen endpoint with the inputs of the choice.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: Arc<direct::EndpointView>,
    /// What decided.
    pub ground: Ground,
    /// Endpoints of the service.
    pub known: usize,
    /// Those that run the version, have not been tried and may be sent a request now.
    pub open: usize,
    /// Those of the open ones that have not failed lately.
    pub well: usize,
    /// Requests at the endpoint.
    pub load: u32,
    /// Age of its last report of its load; `None` where only the own requests are known.
    pub load_age: Option<Duration>,
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            ground,
            known,
            open,
            well,
            load,
            ..
        } = self;
        write!(
            f,
            "{ground}, {well} well of {open} open of {known}, load {load}"
        )?;
        match self.load_age {
            Some(age) => write!(f, " reported {} ms ago", age.as_millis()),
            None => write!(f, " own only"),
        }
    }
}

/// Chooses among `endpoints`; `None` where none may be sent a request now.
#[must_use]
pub fn choose(endpoints: &[Arc<direct::EndpointView>], ask: &Ask<'_>) -> Option<Choice> {
    let open: Vec<_> = endpoints
        .iter()
        .filter(|endpoint| is_open(endpoint, ask))
        .collect();
    let well: Vec<_> = open
        .iter()
        .copied()
        .filter(|endpoint| {
            !endpoint.live.is_suspended(ask.now) && !endpoint.live.is_silent(ask.now)
        })
        .collect();
    // An endpoint that has failed is better than none.
    let (candidates, otherwise) = if well.is_empty() {
        (&open, Ground::LastResort)
    } else {
        (&well, Ground::Score)
    };
    let (endpoint, ground) = ask
        .affinity
        .and_then(|part| by_affinity(candidates, part, ask.now))
        .map(|endpoint| (endpoint, Ground::Affinity))
        .or_else(|| Some((by_score(candidates, ask)?, otherwise)))?;
    Some(Choice {
        ground,
        known: endpoints.len(),
        open: open.len(),
        well: well.len(),
        load: endpoint.live.load(ask.now),
        load_age: endpoint.live.load_age(ask.now),
        endpoint: Arc::clone(endpoint),
    })
}

fn is_open(endpoint: &direct::EndpointView, ask: &Ask<'_>) -> bool {
    ask.version.allows(&endpoint.record.version)
        && !ask.tried.contains(&endpoint.record.id)
        && endpoint
            .live
            .admits(endpoint.cold_until, ask.cold_rate, ask.now)
}

/// Requests at an endpoint, long prompts that wait counted more.
fn weight(endpoint: &direct::EndpointView, now: runtime::Moment) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let pending = endpoint.live.pending_tokens() as f64;
    f64::from(endpoint.live.load(now)) + pending / TOKENS_PER_REQUEST
}

fn by_affinity<'a>(
    candidates: &[&'a Arc<direct::EndpointView>],
    part: ids::Fingerprint,
    now: runtime::Moment,
) -> Option<&'a Arc<direct::EndpointView>> {
    #[allow(clippy::cast_precision_loss)]
    let count = candidates.len().max(1) as f64;
    let mean = candidates
        .iter()
        .map(|endpoint| weight(endpoint, now))
        .sum::<f64>()
        / count;
    let bound = mean.mul_add(BUSY_FACTOR, BUSY_SLACK);
    let expected =
        |endpoint: &direct::EndpointView| endpoint.live.expected_first(now).as_secs_f64();
    let mean = candidates
        .iter()
        .map(|endpoint| expected(endpoint))
        .sum::<f64>()
        / count;
    let slowest = mean.mul_add(SLOW_FACTOR, SLOW_SLACK.as_secs_f64());
    let mut ranked = candidates.to_vec();
    ranked.sort_by_cached_key(|endpoint| {
        std::cmp::Reverse(route::rank_of(part, endpoint.record.id.as_str()))
    });
    ranked
        .into_iter()
        .take(AFFINITY_PLACES)
        .find(|endpoint| weight(endpoint, now) <= bound && expected(endpoint) <= slowest)
}

fn by_score<'a>(
    candidates: &[&'a Arc<direct::EndpointView>],
    ask: &Ask<'_>,
) -> Option<&'a Arc<direct::EndpointView>> {
    candidates
        .iter()
        .copied()
        .min_by(|a, b| score(a, ask).total_cmp(&score(b, ask)))
}

/// Expected time to an answer, up to a factor; lower is better.
fn score(endpoint: &direct::EndpointView, ask: &Ask<'_>) -> f64 {
    let slots = f64::from(endpoint.record.slots.max(1));
    let far = if endpoint.record.domain == *ask.domain {
        0.0
    } else {
        FAR_PENALTY
    };
    let first = endpoint.live.expected_first(ask.now);
    let load = weight(endpoint, ask.now) / slots;
    let failures = endpoint.live.failure_share() * FAILURE_PENALTY;
    first.as_secs_f64().max(0.001) * (1.0 + load + far + failures)
}
