//! Routing decision: selects a version and an endpoint, or refuses the request.

use fastrand::Rng;

use crate::control;
use crate::errors;
use crate::ids;
use crate::poison;
use crate::route;
use crate::route::{endpoints, versions};

/// Endpoints on which a suspect request may run: the first attempt and one retry.
const MAX_SUSPECT_ATTEMPTS: usize = 2;

/// Selects the version and endpoint for a model request. Returns a refusal if the request
/// may not run after a crash, if no allowed version or endpoint is available, or if the
/// time left is too short for a first token.
pub fn decide(
    snapshot: &control::Snapshot,
    profile: &control::ProfileView,
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Result<route::Route, errors::Refusal> {
    let suspect = check_suspicion(snapshot, req)?;
    let choice = versions::choose(snapshot, profile, req, rng)?;
    let keys = snapshot
        .by_version
        .get(choice.version)
        .map(Vec::as_slice)
        .unwrap_or_default();
    let endpoint = choose_endpoint(snapshot, keys, req, suspect, rng)?;
    Ok(route::Route {
        version: choice.version.clone(),
        endpoint,
        reason: choice.reason,
        moved: choice.moved,
    })
}

/// Selects an endpoint for a call of a plain service, with the same checks of suspects and
/// deadlines as [`decide`].
pub fn decide_service(
    snapshot: &control::Snapshot,
    service: &ids::ServiceName,
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Result<control::EndpointKey, errors::Refusal> {
    let suspect = check_suspicion(snapshot, req)?;
    let keys = snapshot
        .by_service
        .get(service)
        .map(Vec::as_slice)
        .unwrap_or_default();
    choose_endpoint(snapshot, keys, req, suspect, rng)
}

fn check_suspicion(
    snapshot: &control::Snapshot,
    req: &route::RouteRequest<'_>,
) -> Result<bool, errors::Refusal> {
    match snapshot.quarantine.suspicion(req.fingerprint) {
        poison::Suspicion::Clear => Ok(false),
        poison::Suspicion::Suspect if req.possible_executions < MAX_SUSPECT_ATTEMPTS => Ok(true),
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

fn choose_endpoint(
    snapshot: &control::Snapshot,
    keys: &[control::EndpointKey],
    req: &route::RouteRequest<'_>,
    suspect: bool,
    rng: &mut Rng,
) -> Result<control::EndpointKey, errors::Refusal> {
    let chosen = if suspect {
        endpoints::choose_for_suspect(snapshot, keys, req)
    } else {
        endpoints::choose(snapshot, keys, req, rng)
    };
    let chosen = chosen.ok_or_else(|| {
        errors::Refusal::new(
            errors::ResultCode::NoEndpoint,
            "no endpoint takes new work for the request",
        )
    })?;
    let can_start_in_time = snapshot
        .endpoints
        .get(chosen)
        .is_some_and(|view| view.report.first_token < req.time_left);
    if !can_start_in_time {
        return Err(errors::Refusal::new(
            errors::ResultCode::DeadlineNotRun,
            "the time left is less than an answer takes to begin",
        ));
    }
    Ok(chosen)
}
