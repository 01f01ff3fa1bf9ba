//! Choice of an endpoint among those of a version or service.

use fastrand::Rng;

use crate::control;
use crate::fleet;
use crate::ids;
use crate::route;

/// Load above which affinity to an endpoint yields.
const AFFINITY_MAX_LOAD: f64 = 0.8;
/// Load that a nearer endpoint may have more than one in another domain.
const OTHER_DOMAIN: f64 = 0.1;
/// Load that a nearer endpoint may have more than one in another region.
const OTHER_REGION: f64 = 0.5;

/// Draws before all endpoints are looked at; with a quarter usable, 1 in 100 gets there.
const MAX_DRAWS: u32 = 16;

type Candidate<'a> = (control::EndpointKey, &'a control::EndpointView);

/// The endpoint of the session or of the prefix while it has room, otherwise
/// the better of two random ones.
pub fn choose(
    snapshot: &control::Snapshot,
    keys: &[control::EndpointKey],
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Option<control::EndpointKey> {
    affine(snapshot, keys, req).or_else(|| better_of_two(snapshot, keys, req, rng))
}

/// The one endpoint for a suspect: its fingerprint decides, so that the
/// suspects of one crash are spread and all entries choose alike.
pub fn isolate(
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

fn affine(
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
    nearest(snapshot, keys, req, req.prefix?)
        .filter(|(_, view)| has_room(view))
        .map(|(key, _)| key)
}

/// The endpoint that the fingerprint picks among the nearest. Endpoints that
/// are further away than the best so far are not ranked, which is most of the cost.
fn nearest<'a>(
    snapshot: &'a control::Snapshot,
    keys: &'a [control::EndpointKey],
    req: &'a route::RouteRequest<'_>,
    fingerprint: ids::Fingerprint,
) -> Option<Candidate<'a>> {
    let mut best: Option<((u8, u64), Candidate<'a>)> = None;
    for candidate in usable(snapshot, keys, req) {
        let near = proximity(candidate.1, req);
        if best.is_some_and(|((nearest, _), _)| near < nearest) {
            continue;
        }
        let rank = (near, route::rank(fingerprint, &candidate.1.vm));
        if best.is_none_or(|(highest, _)| rank > highest) {
            best = Some((rank, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// 2 in the entry's own failure domain, 1 in its region, 0 elsewhere.
fn proximity(view: &control::EndpointView, req: &route::RouteRequest<'_>) -> u8 {
    if view.domain == *req.domain {
        2
    } else {
        u8::from(view.region == *req.region)
    }
}

/// The better of two random endpoints: spreads load without the herding that
/// always taking the least loaded endpoint of a late report causes.
fn better_of_two(
    snapshot: &control::Snapshot,
    keys: &[control::EndpointKey],
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Option<control::EndpointKey> {
    let mut draw = || draw(snapshot, keys, req, rng).or_else(|| scan(snapshot, keys, req, rng));
    let (a, b) = (draw()?, draw()?);
    Some(if penalty(a.1, req) <= penalty(b.1, req) {
        a.0
    } else {
        b.0
    })
}

/// A random endpoint without a look at all of them. One below its full limit
/// is drawn as rarely as it bears less; `None` after some misses.
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
        let full = view.report.max.max(view.report.limit);
        if full == 0 || rng.u32(..full) < view.report.limit {
            return Some((key, view));
        }
    }
    None
}

/// A random endpoint among all usable ones, weighted by limit.
fn scan<'a>(
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

/// Load plus a charge for distance; a near endpoint is preferred until it
/// is noticeably busier.
fn penalty(view: &control::EndpointView, req: &route::RouteRequest<'_>) -> f64 {
    let distance = match proximity(view, req) {
        2 => 0.0,
        1 => OTHER_DOMAIN,
        _ => OTHER_REGION,
    };
    view.load() + distance
}
