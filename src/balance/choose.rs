//! Endpoint selection as a pure function of the snapshot and the query.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::balance;
use crate::catalog;
use crate::direct;
use crate::ids;
use crate::route;
use crate::runtime;
use crate::units;

/// Endpoints that are taken to have cached a shared prefix: the first by rank, to which
/// all entries send it, whether or not this entry has.
const PRESUMED_HOLDERS: usize = 1;
/// Multiple of the mean load above which an endpoint is too busy for affinity.
const AFFINITY_MAX_LOAD_FACTOR: f64 = 1.6;
/// Requests added to that limit, so that small loads do not break affinity.
const AFFINITY_LOAD_SLACK_REQUESTS: f64 = 4.0;
/// Multiple of the mean expected wait above which an endpoint is too busy for affinity.
/// With a lower value, reading prompts again at another endpoint costs more than the
/// shorter wait saves.
const AFFINITY_MAX_WAIT_FACTOR: f64 = 2.5;
/// Time added to that limit: about what the largest model takes to read a long prompt.
const AFFINITY_WAIT_SLACK: Duration = Duration::from_millis(300);
/// Pending reading time that weighs as much as one request in the load.
const PENDING_READING_PER_REQUEST: Duration = Duration::from_millis(100);
/// Weight of the time to read a prompt against the wait. Above 1, since reading also
/// delays the other requests of the endpoint and evicts what it has cached.
const READING_WEIGHT: f64 = 2.0;
/// Cost of a path to another failure domain, as a load relative to the slots.
const CROSS_DOMAIN_PENALTY: f64 = 0.08;
/// Cost of a path to another region: the way there takes several milliseconds.
const CROSS_REGION_PENALTY: f64 = 0.5;
/// Weight of an endpoint's failure rate in its score.
const FAILURE_PENALTY_FACTOR: f64 = 4.0;

/// Time constant with which a load report drifts to the mean of the candidates: the requests
/// that it counts have ended since, and other entries have seen older ones.
const LOAD_DRIFT: Duration = Duration::from_secs(1);
/// Fraction above the lowest score up to which candidates count as equal, so that entries
/// with the same old reports don't all choose the same one.
const EQUAL_SCORE: f64 = 0.05;

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
    /// Prompt of the request, parts of which an endpoint may have cached; `None` selects
    /// by load alone.
    pub reading: Option<balance::Reading<'a>>,
    /// Regions in which the request may be executed.
    pub regions: &'a catalog::AllowedRegions,
    /// Region of this entry; endpoints in it are preferred. `None` if it is not known.
    pub region: Option<&'a ids::RegionName>,
    /// Endpoints excluded because an earlier attempt used them.
    pub tried: &'a [ids::EndpointId],
    /// Failure domain of this entry; endpoints in it are preferred.
    pub domain: &'a ids::DomainName,
    /// Rates over all entries, such as that of requests to a cold endpoint.
    pub rates: &'a balance::SharedRates,
    /// Share of this entry in what an endpoint can carry that is not at its full load.
    pub share: units::Share,
    /// Maximum time for which the request may wait for a permit at an endpoint.
    pub max_delay: Duration,
    /// Time in which an engine of usual speed writes the answer; zero if not known.
    pub writing: Duration,
    /// Mean gap between events of the service's streams; `None` if not known.
    pub event_gap: Option<Duration>,
    /// Time until the answer must be complete.
    pub time_left: Duration,
    /// Seed by which requests spread over endpoints of nearly equal score; used only where
    /// endpoints state their work time.
    pub spread: ids::Fingerprint,
    /// Time of the selection.
    pub now: runtime::Moment,
}

/// Why an endpoint was selected; written to the request log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ChoiceReason {
    /// Has probably cached a part of the prompt, and is expected to answer first.
    Affinity,
    /// Has the lowest score, i.e. is expected to answer first.
    Score,
    /// No eligible endpoint is healthy; it has the lowest score among all of them.
    LastResort,
    /// All endpoints that may be used have a rate over all entries; it is the first that takes
    /// another request.
    NextPermit,
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
    /// Endpoints left out because they have asked for a pause, or have just returned.
    pub paused: usize,
    /// Endpoints left out because they leave.
    pub leaving: usize,
    /// Eligible endpoints that are neither suspended after failures nor silent.
    pub healthy: usize,
    /// Requests running or queued at the endpoint.
    pub load: u32,
    /// Age of the endpoint's load report; `None` where `load` counts only this
    /// entry's own requests.
    pub load_age: Option<Duration>,
    /// Expected time from the send to the first byte.
    pub expected: Duration,
    /// Expected time from the send to the first byte, by waits of the last seconds alone.
    pub begin: Duration,
    /// Expected time from the send to the end of the answer. Equals `begin` where the time to
    /// write it is not known.
    pub end: Duration,
    /// Expected time to read the prompt; zero without one.
    pub reading: Duration,
    /// Prompt tokens that the endpoint has to read; zero without a prompt.
    pub unread: units::Tokens,
    /// Time to wait before the request is sent, as the endpoint has a rate; counted in
    /// `expected`.
    pub delay: Duration,
    /// Speed of the endpoint; `None` if it doesn't state its work time.
    pub speed: Option<balance::EndpointSpeed>,
    /// Age of that statement; zero without one.
    pub speed_age: Duration,
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            reason,
            total,
            eligible,
            healthy,
            paused,
            leaving,
            load,
            ..
        } = self;
        write!(
            f,
            "{reason}, {healthy} well of {eligible} open of {total}, "
        )?;
        if *paused > 0 {
            write!(f, "{paused} paused, ")?;
        }
        if *leaving > 0 {
            write!(f, "{leaving} leaving, ")?;
        }
        write!(f, "load {load}")?;
        match self.load_age {
            Some(age) => write!(f, " reported {} ms ago", age.as_millis())?,
            None => write!(f, " own only")?,
        }
        if let Some(speed) = &self.speed {
            let (stated, age) = (speed.stated(), self.speed_age.as_millis());
            let learned = speed.learned();
            write!(
                f,
                ", work time {stated}% {age} ms ago, learned {learned:.2}"
            )?;
        }
        if !self.delay.is_zero() {
            write!(f, ", sent in {} ms", self.delay.as_millis())?;
        }
        if self.unread.0 > 0 {
            let expected = self.expected.as_millis();
            write!(f, ", {} to read, expected in {expected} ms", self.unread)?;
        }
        Ok(())
    }
}

/// Selects one of `endpoints`; `None` when no endpoint is eligible.
#[must_use]
pub fn choose(endpoints: &[Arc<direct::EndpointView>], query: &Query<'_>) -> Option<Choice> {
    let eligible: Vec<_> = endpoints
        .iter()
        .filter(|endpoint| {
            is_allowed(endpoint, query) && permit_delay(endpoint, query) == Some(Duration::ZERO)
        })
        .collect();
    if eligible.is_empty() {
        return choose_delayed(endpoints, query);
    }
    let healthy: Vec<_> = eligible
        .iter()
        .copied()
        .filter(|endpoint| is_healthy(endpoint, query))
        .collect();
    // An unhealthy endpoint is better than refusing the request.
    let (candidates, default_reason) = if healthy.is_empty() {
        (&eligible, ChoiceReason::LastResort)
    } else {
        (&healthy, ChoiceReason::Score)
    };
    let candidates = weigh(candidates, query);
    let best = pick(&candidates, query)?;
    let reason = if best.is_holder {
        ChoiceReason::Affinity
    } else {
        default_reason
    };
    let is_complete = eligible.len() == endpoints.len();
    let (paused, leaving) = if is_complete {
        (0, 0)
    } else {
        count_closed(endpoints, query)
    };
    Some(Choice {
        paused,
        leaving,
        reason,
        total: endpoints.len(),
        eligible: eligible.len(),
        healthy: healthy.len(),
        load: best.figures.load,
        load_age: best.endpoint.live.load_age(query.now),
        expected: best.forecast.first,
        begin: best.recent.first,
        end: best.recent.end,
        reading: best.reading,
        unread: best.unread,
        delay: Duration::ZERO,
        speed: best.figures.speed,
        speed_age: best.speed_age(query),
        endpoint: Arc::clone(best.endpoint),
    })
}

/// Selects the endpoint whose rate lets it be sent the request first, within the maximum
/// delay.
fn choose_delayed(endpoints: &[Arc<direct::EndpointView>], query: &Query<'_>) -> Option<Choice> {
    let candidates = endpoints
        .iter()
        .filter(|endpoint| is_allowed(endpoint, query) && may_wait_for(endpoint, query));
    let (delay, endpoint) = candidates
        .filter_map(|endpoint| Some((permit_delay(endpoint, query)?, endpoint)))
        .min_by_key(|(delay, _)| *delay)
        .filter(|(delay, _)| *delay <= query.max_delay)?;
    let weighed = weigh(&[endpoint], query);
    let best = weighed.first()?;
    let (paused, leaving) = count_closed(endpoints, query);
    Some(Choice {
        paused,
        leaving,
        reason: ChoiceReason::NextPermit,
        total: endpoints.len(),
        eligible: 0,
        healthy: 0,
        load: best.figures.load,
        load_age: endpoint.live.load_age(query.now),
        expected: delay + best.forecast.first,
        begin: delay + best.recent.first,
        end: delay + best.recent.end,
        reading: best.reading,
        unread: best.unread,
        delay,
        speed: best.figures.speed,
        speed_age: best.speed_age(query),
        endpoint: Arc::clone(endpoint),
    })
}

fn is_healthy(endpoint: &direct::EndpointView, query: &Query<'_>) -> bool {
    admission(endpoint, query) == balance::Admission::Open
}

/// Whether a request may wait for a permit at the endpoint. Permits go before the limit of
/// this entry, as the request would be refused otherwise.
fn may_wait_for(endpoint: &direct::EndpointView, query: &Query<'_>) -> bool {
    use balance::{Admission, Hold};
    matches!(
        admission(endpoint, query),
        Admission::Open | Admission::LastResort(Hold::Rising(_))
    )
}

fn admission(endpoint: &direct::EndpointView, query: &Query<'_>) -> balance::Admission {
    endpoint.admission(query.share, query.now)
}

/// Counts the endpoints that pause and those that leave.
fn count_closed(endpoints: &[Arc<direct::EndpointView>], query: &Query<'_>) -> (usize, usize) {
    let admissions = endpoints.iter().map(|endpoint| admission(endpoint, query));
    admissions.fold((0, 0), |(paused, leaving), admission| match admission {
        balance::Admission::Closed(balance::Hold::Leaving) => (paused, leaving + 1),
        balance::Admission::Closed(_) => (paused + 1, leaving),
        balance::Admission::Open | balance::Admission::LastResort(_) => (paused, leaving),
    })
}

/// An endpoint that may be chosen, with the figures behind its score.
struct Candidate<'a> {
    endpoint: &'a Arc<direct::EndpointView>,
    figures: balance::Figures,
    /// Whether it has probably cached a part of the prompt and is not too busy to use it.
    is_holder: bool,
    unread: units::Tokens,
    /// Time to read the prompt.
    reading: Duration,
    /// Expected times of the answer.
    forecast: balance::Forecast,
    /// The same by waits of the last seconds alone.
    recent: balance::Forecast,
    /// Writing time relative to that of the service's engines.
    writing_factor: f64,
    /// Relative expected time to an answer; lower is better.
    score: f64,
}

impl Candidate<'_> {
    /// Requests at the endpoint plus its pending reading time, in units of requests.
    fn weighted_load(&self) -> f64 {
        let pending = self.figures.pending_reading.as_secs_f64();
        f64::from(self.figures.load) + pending / PENDING_READING_PER_REQUEST.as_secs_f64()
    }

    fn speed_age(&self, query: &Query<'_>) -> Duration {
        let speed = self.figures.speed;
        speed.map_or(Duration::ZERO, |speed| speed.age(query.now))
    }

    /// Time to read this many tokens at the endpoint's speed.
    fn reading_time(&self, reading: &balance::Reading<'_>, now: runtime::Moment) -> Duration {
        let usual = reading.time(self.unread);
        let speed = self.figures.speed;
        speed.map_or(usual, |speed| {
            usual.mul_f64(speed.learned() * speed.pace(now))
        })
    }

    /// Requests of other entries at the endpoint: as reported, and drifting to the `mean` of
    /// the candidates with the age of the report.
    fn others(&self, mean: f64) -> f64 {
        let reported = f64::from(self.figures.load - self.figures.own_load);
        let kept = self.figures.load_age.map_or(0.0, |age| {
            (-age.as_secs_f64() / LOAD_DRIFT.as_secs_f64()).exp()
        });
        kept.mul_add(reported - mean, mean)
    }

    /// Writing time at the endpoint, weighed by how much of the caller's time it takes: where
    /// there is plenty, the first event is what counts.
    fn weighted_writing(&self, query: &Query<'_>) -> Duration {
        let writing = self.forecast.end.saturating_sub(self.forecast.first);
        let part = writing.as_secs_f64() / query.time_left.as_secs_f64().max(0.001);
        writing.mul_f64(part.min(1.0))
    }

    /// Sets the forecast and the score; `load` is the number of requests at the endpoint.
    fn rate(&mut self, load: f64, query: &Query<'_>) {
        let record = &self.endpoint.record;
        let speed = self.figures.speed;
        let stated = self.figures.slots.filter(|_| speed.is_some());
        let slots = stated.unwrap_or(record.slots).max(1);
        let path_penalty = if record.domain == *query.domain {
            0.0
        } else if self.endpoint.region.as_ref() == query.region {
            CROSS_DOMAIN_PENALTY
        } else {
            CROSS_REGION_PENALTY
        };
        let failure_penalty = self.figures.failure_share * FAILURE_PENALTY_FACTOR;
        let batch = load / f64::from(slots);
        let usual = speed.map_or(1.0, |speed| speed.usual());
        self.writing_factor = balance::writing_factor(self.figures.gap, query.event_gap, usual);
        let pending = self.figures.pending_reading;
        let forecast = |wait: Duration| {
            if query.reading.is_none() && speed.is_some() {
                let (ahead, work) = (load, wait);
                return balance::PlainWork { ahead, slots, work }.forecast();
            }
            let engine = balance::EngineWork {
                wait: wait + pending,
                reading: self.reading,
                writing: query.writing.mul_f64(self.writing_factor),
            };
            engine.forecast()
        };
        let (forecast, recent) = (
            forecast(self.figures.wait),
            forecast(self.figures.recent_wait),
        );
        (self.forecast, self.recent) = (forecast, recent);
        let mut time = self.forecast.first + self.reading.mul_f64(READING_WEIGHT - 1.0);
        if speed.is_some() {
            time += self.weighted_writing(query);
        }
        self.score = time.as_secs_f64().max(0.001) * (1.0 + batch + path_penalty + failure_penalty);
    }
}

/// Returns the candidate with the lowest score. Where endpoints state their work time, one of
/// those that are nearly as good, by the seed of the request.
fn pick<'a, 'b>(candidates: &'b [Candidate<'a>], query: &Query<'_>) -> Option<&'b Candidate<'a>> {
    let best = candidates
        .iter()
        .min_by(|a, b| a.score.total_cmp(&b.score))?;
    if best.figures.speed.is_none() {
        return Some(best);
    }
    let limit = best.score * (1.0 + EQUAL_SCORE);
    candidates
        .iter()
        .filter(|candidate| candidate.score <= limit)
        .min_by_key(|candidate| route::rank_of(query.spread, candidate.endpoint.record.id.as_str()))
}

/// Rates all candidates. Where an endpoint has probably cached a part of the prompt, only
/// the rest has to be read.
fn weigh<'a>(endpoints: &[&'a Arc<direct::EndpointView>], query: &Query<'_>) -> Vec<Candidate<'a>> {
    let reading = query.reading.as_ref();
    let prompt_tokens = reading.map_or(units::Tokens(0), |reading| reading.prompt.input);
    let mut candidates: Vec<_> = endpoints
        .iter()
        .map(|endpoint| Candidate {
            endpoint,
            figures: endpoint.live.figures(reading, query.now),
            is_holder: false,
            unread: prompt_tokens,
            reading: Duration::ZERO,
            forecast: balance::Forecast::default(),
            recent: balance::Forecast::default(),
            writing_factor: 1.0,
            score: 0.0,
        })
        .collect();
    if let Some(reading) = reading {
        mark_holders(&mut candidates, reading);
        for candidate in &mut candidates {
            candidate.reading = candidate.reading_time(reading, query.now);
        }
    }
    let mean_others = mean_others(&candidates);
    for candidate in &mut candidates {
        let load = match mean_others {
            Some(mean) => candidate.others(mean) + f64::from(candidate.figures.own_load),
            None => f64::from(candidate.figures.load),
        };
        candidate.rate(load, query);
    }
    candidates
}

/// Mean number of requests of other entries at the candidates with a load report; `None`
/// unless one states its work time.
fn mean_others(candidates: &[Candidate<'_>]) -> Option<f64> {
    if candidates
        .iter()
        .all(|candidate| candidate.figures.speed.is_none())
    {
        return None;
    }
    let reported = candidates
        .iter()
        .filter(|candidate| candidate.figures.load_age.is_some());
    let (sum, count) = reported.fold((0.0, 0.0_f64), |(sum, count), candidate| {
        let others = candidate.figures.load - candidate.figures.own_load;
        (sum + f64::from(others), count + 1.0)
    });
    Some(sum / count.max(1.0))
}

/// Marks the candidates that have probably cached a part of the prompt. Busy ones are
/// left out, so that a popular prefix is spread over more endpoints.
fn mark_holders(candidates: &mut [Candidate<'_>], reading: &balance::Reading<'_>) {
    let Some(prefix) = reading.affinity() else {
        return;
    };
    #[allow(clippy::cast_precision_loss)]
    let count = candidates.len().max(1) as f64;
    let loads: f64 = candidates.iter().map(Candidate::weighted_load).sum();
    let waits: Duration = candidates
        .iter()
        .map(|candidate| candidate.figures.wait)
        .sum();
    let (mean_load, mean_wait) = (loads / count, waits.as_secs_f64() / count);
    let max_load = mean_load.mul_add(AFFINITY_MAX_LOAD_FACTOR, AFFINITY_LOAD_SLACK_REQUESTS);
    let max_wait = mean_wait.mul_add(AFFINITY_MAX_WAIT_FACTOR, AFFINITY_WAIT_SLACK.as_secs_f64());
    candidates.sort_by_cached_key(|candidate| {
        std::cmp::Reverse(route::rank_of(
            prefix,
            candidate.endpoint.record.id.as_str(),
        ))
    });
    let own_tokens = reading.own_tokens();
    for (rank, candidate) in candidates.iter_mut().enumerate() {
        let is_free = candidate.weighted_load() <= max_load
            && candidate.figures.wait.as_secs_f64() <= max_wait;
        let mut unread = candidate.figures.unread.unwrap_or(candidate.unread);
        if rank < PRESUMED_HOLDERS {
            unread = unread.min(own_tokens);
        }
        if is_free && unread < candidate.unread {
            candidate.is_holder = true;
            candidate.unread = unread;
        }
    }
}

fn is_allowed(endpoint: &direct::EndpointView, query: &Query<'_>) -> bool {
    let record = &endpoint.record;
    query.version.allows(&record.version)
        && query.regions.allows(endpoint.region.as_ref())
        && !query.tried.contains(&record.id)
        && !matches!(admission(endpoint, query), balance::Admission::Closed(_))
}

fn permit_delay(endpoint: &direct::EndpointView, query: &Query<'_>) -> Option<Duration> {
    endpoint.permit_delay(query.rates, query.now)
}
