//! The routing decision.

use fastrand::Rng;

use crate::control;
use crate::errors;
use crate::ids;
use crate::poison;
use crate::route;
use crate::route::{endpoints, versions};

/// Endpoints on which a suspect may run: one and a single retry.
const MAX_SUSPECT_RUNS: usize = 2;

/// Chooses version and endpoint for a model request.
pub fn decide(
    snapshot: &control::Snapshot,
    profile: &control::ProfileView,
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Result<route::Route, errors::Refusal> {
    let suspect = is_suspect(snapshot, req)?;
    let choice = versions::choose(snapshot, profile, req, rng)?;
    let keys = snapshot
        .by_version
        .get(choice.version)
        .map(Vec::as_slice)
        .unwrap_or_default();
    let endpoint = endpoint(snapshot, keys, req, suspect, rng)?;
    Ok(route::Route {
        version: choice.version.clone(),
        endpoint,
        reason: choice.reason,
        moved: choice.moved,
    })
}

/// Chooses an endpoint for a call of a plain service.
pub fn decide_service(
    snapshot: &control::Snapshot,
    service: &ids::ServiceName,
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Result<control::EndpointKey, errors::Refusal> {
    let suspect = is_suspect(snapshot, req)?;
    let keys = snapshot
        .by_service
        .get(service)
        .map(Vec::as_slice)
        .unwrap_or_default();
    endpoint(snapshot, keys, req, suspect, rng)
}

fn is_suspect(
    snapshot: &control::Snapshot,
    req: &route::RouteRequest<'_>,
) -> Result<bool, errors::Refusal> {
    match snapshot.quarantine.suspicion(req.fingerprint) {
        poison::Suspicion::Clear => Ok(false),
        poison::Suspicion::Suspect if req.ran < MAX_SUSPECT_RUNS => Ok(true),
        poison::Suspicion::Suspect => Err(errors::Refusal::new(
            errors::ResultCode::NoEndpoint,
            "the request was in flight in a crash and is not tried again",
        )),
        poison::Suspicion::Quarantined => Err(errors::Refusal::new(
            errors::ResultCode::Quarantined,
            "the request has crashed endpoints",
        )),
    }
}

fn endpoint(
    snapshot: &control::Snapshot,
    keys: &[control::EndpointKey],
    req: &route::RouteRequest<'_>,
    suspect: bool,
    rng: &mut Rng,
) -> Result<control::EndpointKey, errors::Refusal> {
    let chosen = if suspect {
        endpoints::isolate(snapshot, keys, req)
    } else {
        endpoints::choose(snapshot, keys, req, rng)
    };
    let chosen = chosen.ok_or_else(|| {
        errors::Refusal::new(
            errors::ResultCode::NoEndpoint,
            "no endpoint takes new work for the request",
        )
    })?;
    let in_time = snapshot
        .endpoints
        .get(chosen)
        .is_some_and(|view| view.report.first_token < req.time_left);
    if !in_time {
        return Err(errors::Refusal::new(
            errors::ResultCode::DeadlineNotRun,
            "the time left is less than an answer takes to begin",
        ));
    }
    Ok(chosen)
}
