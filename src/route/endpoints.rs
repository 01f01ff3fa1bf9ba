//! Selection of an endpoint among those of a version or service.

use fastrand::Rng;

use crate::control;
use crate::fleet;
use crate::ids;
use crate::route;

/// Load at which an endpoint is no longer preferred for its session or prefix.
const AFFINITY_MAX_LOAD: f64 = 0.8;
/// Load that is added to endpoints in another failure domain of the entry's region.
const OTHER_DOMAIN_PENALTY: f64 = 0.1;
/// Load that is added to endpoints in another region.
const OTHER_REGION_PENALTY: f64 = 0.5;

/// Random draws before all endpoints are scanned; with a quarter of them usable, 1 in 100
/// gets to the scan.
const MAX_DRAWS: u32 = 16;

type Candidate<'a> = (control::EndpointKey, &'a control::EndpointView);

/// Selects the endpoint of the session or of the prefix while it has room, otherwise the
/// better of two random endpoints. `None` if no endpoint is usable.
pub fn choose(
    snapshot: &control::Snapshot,
    keys: &[control::EndpointKey],
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Option<control::EndpointKey> {
    choose_by_affinity(snapshot, keys, req).or_else(|| better_of_two(snapshot, keys, req, rng))
}

/// Selects the single endpoint for a suspect request. Its fingerprint decides, so that the
/// suspects of one crash are spread over the endpoints and all entries select the same one.
pub fn choose_for_suspect(
    snapshot: &control::Snapshot,
    keys: &[control::EndpointKey],
    req: &route::RouteRequest<'_>,
) -> Option<control::EndpointKey> {
    usable(snapshot, keys, req)
        .max_by_key(|(_, view)| route::rank(req.fingerprint, &view.vm))
        .map(|(key, _)| key)
}

fn usable<'a>(
    snapshot: &'a control::Snapshot,
    keys: &'a [control::EndpointKey],
    req: &'a route::RouteRequest<'_>,
) -> impl Iterator<Item = Candidate<'a>> {
    keys.iter()
        .filter(|key| !req.excluded.contains(key))
        .filter_map(|key| snapshot.endpoints.get(*key).map(|view| (*key, view)))
}

fn choose_by_affinity(
    snapshot: &control::Snapshot,
    keys: &[control::EndpointKey],
    req: &route::RouteRequest<'_>,
) -> Option<control::EndpointKey> {
    let has_room = |view: &control::EndpointView| {
        view.report.warmth == fleet::Warmth::Warm && view.load() < AFFINITY_MAX_LOAD
    };
    if let Some(vm) = req.pin.as_ref().and_then(|pin| pin.vm.as_ref())
        && let Some((key, _)) = usable(snapshot, keys, req)
            .find(|(_, view)| view.vm == *vm)
            .filter(|(_, view)| has_room(view))
    {
        return Some(key);
    }
    rank_nearest(snapshot, keys, req, req.prefix?)
        .filter(|(_, view)| has_room(view))
        .map(|(key, _)| key)
}

/// Returns the endpoint that the fingerprint ranks highest among the nearest. Endpoints
/// further away than the best so far are not ranked, because ranking is most of the cost.
fn rank_nearest<'a>(
    snapshot: &'a control::Snapshot,
    keys: &'a [control::EndpointKey],
    req: &'a route::RouteRequest<'_>,
    fingerprint: ids::Fingerprint,
) -> Option<Candidate<'a>> {
    let mut best: Option<((u8, u64), Candidate<'a>)> = None;
    for candidate in usable(snapshot, keys, req) {
        let proximity = proximity(candidate.1, req);
        if best.is_some_and(|((best_proximity, _), _)| proximity < best_proximity) {
            continue;
        }
        let rank = (proximity, route::rank(fingerprint, &candidate.1.vm));
        if best.is_none_or(|(highest, _)| rank > highest) {
            best = Some((rank, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Returns 2 in the entry's own failure domain, 1 in its region and 0 elsewhere.
fn proximity(view: &control::EndpointView, req: &route::RouteRequest<'_>) -> u8 {
    if view.domain == *req.domain {
        2
    } else {
        u8::from(view.region == *req.region)
    }
}

/// Selects the better of two random endpoints. Selecting the least loaded one would cause
/// herding, because reports arrive late.
fn better_of_two(
    snapshot: &control::Snapshot,
    keys: &[control::EndpointKey],
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Option<control::EndpointKey> {
    let mut draw =
        || draw(snapshot, keys, req, rng).or_else(|| draw_from_all(snapshot, keys, req, rng));
    let (a, b) = (draw()?, draw()?);
    Some(if penalty(a.1, req) <= penalty(b.1, req) {
        a.0
    } else {
        b.0
    })
}

/// Draws a random endpoint by rejection sampling, without a scan of all of them. An
/// endpoint below its full limit is accepted in proportion to its current limit. Returns
/// `None` if there are no endpoints or after `MAX_DRAWS` rejected draws.
fn draw<'a>(
    snapshot: &'a control::Snapshot,
    keys: &[control::EndpointKey],
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Option<Candidate<'a>> {
    for _ in 0..MAX_DRAWS {
        let key = *keys.get(rng.usize(..keys.len().max(1)))?;
        if req.excluded.contains(&key) {
            continue;
        }
        let Some(view) = snapshot.endpoints.get(key) else {
            continue;
        };
        let full_limit = view.report.max.max(view.report.limit);
        if full_limit == 0 || rng.u32(..full_limit) < view.report.limit {
            return Some((key, view));
        }
    }
    None
}

/// Draws a random endpoint among all usable ones, weighted by their limits.
fn draw_from_all<'a>(
    snapshot: &'a control::Snapshot,
    keys: &'a [control::EndpointKey],
    req: &'a route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Option<Candidate<'a>> {
    let mut drawn = None;
    let mut total = 0.0;
    for candidate in usable(snapshot, keys, req) {
        let weight = f64::from(candidate.1.report.limit.max(1));
        total += weight;
        if rng.f64() * total < weight {
            drawn = Some(candidate);
        }
    }
    drawn
}

/// Returns the load plus a penalty for distance, so that a near endpoint is preferred until
/// it is noticeably busier.
fn penalty(view: &control::EndpointView, req: &route::RouteRequest<'_>) -> f64 {
    let distance = match proximity(view, req) {
        2 => 0.0,
        1 => OTHER_DOMAIN_PENALTY,
        _ => OTHER_REGION_PENALTY,
    };
    view.load() + distance
}
