//! Choice of an endpoint among those of a version or service.

use fastrand::Rng;

use crate::control;
use crate::fleet;
use crate::route;

/// Load above which affinity to an endpoint yields.
const AFFINITY_MAX_LOAD: f64 = 0.8;
/// Load that a nearer endpoint may have more than one in another domain.
const OTHER_DOMAIN: f64 = 0.1;
/// Load that a nearer endpoint may have more than one in another region.
const OTHER_REGION: f64 = 0.5;

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
    let prefix = req.prefix?;
    usable(snapshot, keys, req)
        .max_by_key(|(_, view)| (proximity(view, req), route::rank(prefix, &view.vm)))
        .filter(|(_, view)| has_room(view))
        .map(|(key, _)| key)
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
/// always taking the least loaded endpoint of a late report causes. Draws are
/// weighted by limit, so a cold endpoint is drawn as rarely as it can bear.
fn better_of_two(
    snapshot: &control::Snapshot,
    keys: &[control::EndpointKey],
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Option<control::EndpointKey> {
    let mut drawn: [Option<Candidate<'_>>; 2] = [None, None];
    let mut total = 0.0;
    for candidate in usable(snapshot, keys, req) {
        let weight = f64::from(candidate.1.report.limit.max(1));
        total += weight;
        for place in &mut drawn {
            if rng.f64() * total < weight {
                *place = Some(candidate);
            }
        }
    }
    let [Some(a), Some(b)] = drawn else {
        return None;
    };
    Some(if penalty(a.1, req) <= penalty(b.1, req) {
        a.0
    } else {
        b.0
    })
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
