//! The routing decision.

use std::cmp::Ordering;

use fastrand::Rng;

use crate::control;
use crate::errors;
use crate::ids;
use crate::route;

/// Load above which affinity to an endpoint yields.
const AFFINITY_MAX_LOAD: f64 = 0.8;

/// Chooses version and endpoint for a model request.
pub fn decide(
    snapshot: &control::Snapshot,
    profile: &control::ProfileView,
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Result<route::Route, errors::Refusal> {
    let (version, reason) = choose_version(snapshot, profile, req, rng).ok_or_else(|| {
        errors::Refusal::new(
            errors::ResultCode::NoEndpoint,
            "no endpoint serves an allowed version",
        )
    })?;
    let endpoint = choose_endpoint(snapshot, version, req, rng).ok_or_else(|| {
        errors::Refusal::new(
            errors::ResultCode::NoEndpoint,
            "no endpoint takes new work for the version",
        )
    })?;
    Ok(route::Route {
        version: version.clone(),
        endpoint,
        reason,
    })
}

/// Chooses an endpoint for a call of a plain service.
pub fn decide_service(
    snapshot: &control::Snapshot,
    service: &ids::ServiceName,
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Result<control::EndpointKey, errors::Refusal> {
    let keys = snapshot
        .by_service
        .get(service)
        .map(Vec::as_slice)
        .unwrap_or_default();
    pick(snapshot, keys, req, rng).ok_or_else(|| {
        errors::Refusal::new(
            errors::ResultCode::NoEndpoint,
            "no endpoint of the service takes new work",
        )
    })
}

fn choose_version<'a>(
    snapshot: &control::Snapshot,
    profile: &'a control::ProfileView,
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Option<(&'a ids::VersionName, route::Reason)> {
    let served = |view: &&control::VersionView| has_endpoint(snapshot, &view.name, req);
    let all = || {
        profile
            .versions
            .iter()
            .chain(profile.rollouts.iter().map(|rollout| &rollout.version))
    };
    if let Some(pin) = &req.pin
        && let Some(view) = all().find(|view| view.name == pin.version)
    {
        return Some((&view.name, route::Reason::Session));
    }
    for rollout in &profile.rollouts {
        let drawn = rng.f64() < rollout.share.get();
        if drawn && served(&&rollout.version) && rollout.allotment.try_spend() {
            return Some((&rollout.version.name, route::Reason::Rollout));
        }
    }
    let target = profile.profile.quality_target;
    let estimate = |view: &control::VersionView| snapshot.estimates.get(&view.name, req.class);
    let meets =
        |view: &&control::VersionView| estimate(view).lower(view.version.prior_quality) >= target;
    if let Some(view) = profile.versions.iter().filter(served).find(meets) {
        return Some((&view.name, route::Reason::CheapestAtTarget));
    }
    let mean = |view: &control::VersionView| estimate(view).mean(view.version.prior_quality).get();
    let best = profile
        .versions
        .iter()
        .filter(served)
        .max_by(|a, b| mean(a).total_cmp(&mean(b)));
    best.map(|view| (&view.name, route::Reason::BestBelowTarget))
}

fn has_endpoint(
    snapshot: &control::Snapshot,
    version: &ids::VersionName,
    req: &route::RouteRequest<'_>,
) -> bool {
    let keys = snapshot
        .by_version
        .get(version)
        .map(Vec::as_slice)
        .unwrap_or_default();
    keys.iter().any(|key| !req.excluded.contains(key))
}

fn choose_endpoint(
    snapshot: &control::Snapshot,
    version: &ids::VersionName,
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Option<control::EndpointKey> {
    let keys = snapshot
        .by_version
        .get(version)
        .map(Vec::as_slice)
        .unwrap_or_default();
    if let Some(vm) = req.pin.as_ref().and_then(|pin| pin.vm.as_ref()) {
        let pinned = keys.iter().find(|key| {
            snapshot
                .endpoints
                .get(**key)
                .is_some_and(|view| view.vm == *vm)
        });
        if let Some(key) = pinned
            && !req.excluded.contains(key)
            && snapshot
                .endpoints
                .get(*key)
                .is_some_and(|view| view.load() < AFFINITY_MAX_LOAD)
        {
            return Some(*key);
        }
    }
    pick(snapshot, keys, req, rng)
}

/// The better of two random candidates: spreads load without the herding
/// that always taking the least loaded endpoint of a late report causes.
fn pick(
    snapshot: &control::Snapshot,
    keys: &[control::EndpointKey],
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Option<control::EndpointKey> {
    let usable = || {
        keys.iter()
            .copied()
            .filter(|key| !req.excluded.contains(key))
    };
    let count = usable().count();
    if count == 0 {
        return None;
    }
    let mut draw = || usable().nth(rng.usize(..count));
    let (a, b) = (draw()?, draw()?);
    let (left, right) = (snapshot.endpoints.get(a)?, snapshot.endpoints.get(b)?);
    Some(if compare(left, right, req) == Ordering::Greater {
        b
    } else {
        a
    })
}

fn compare(
    a: &control::EndpointView,
    b: &control::EndpointView,
    req: &route::RouteRequest<'_>,
) -> Ordering {
    penalty(a, req).total_cmp(&penalty(b, req))
}

/// Load plus a charge for distance; a near endpoint is preferred until it
/// is noticeably busier.
fn penalty(view: &control::EndpointView, req: &route::RouteRequest<'_>) -> f64 {
    const OTHER_DOMAIN: f64 = 0.1;
    const OTHER_REGION: f64 = 0.5;
    let distance = if view.region != *req.region {
        OTHER_REGION
    } else if view.domain != *req.domain {
        OTHER_DOMAIN
    } else {
        0.0
    };
    view.load() + distance
}
