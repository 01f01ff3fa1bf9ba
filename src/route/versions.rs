//! Selection of a version.

use fastrand::Rng;

use crate::control;
use crate::errors;
use crate::ids;
use crate::route;
use crate::session;
use crate::units;

/// Fraction of requests that explore versions which may meet the target, to collect ratings
/// for them.
const EXPLORE_FRACTION: f64 = 0.02;
/// Retry hint when the allotment of a rollout is used up; the next grant comes within
/// seconds.
const ALLOTMENT_RETRY_AFTER: units::Millis = units::Millis(2_000);

/// Selected version, with the reason for the selection.
pub struct Choice<'a> {
    /// Version that was selected.
    pub version: &'a ids::VersionName,
    /// Rule by which the version was selected.
    pub reason: route::Reason,
    /// Why the session left its version; `None` if it kept it or there is no session.
    pub moved: Option<session::MoveReason>,
}

/// Selects the pinned version if it is allowed, otherwise one by rollout share,
/// exploration, quality estimate and cost.
pub fn choose<'a>(
    snapshot: &control::Snapshot,
    profile: &'a control::ProfileView,
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Result<Choice<'a>, errors::Refusal> {
    let moved = match &req.pin {
        None => None,
        Some(pin) => match resolve_pin(snapshot, profile, pin)? {
            Ok(version) => {
                return Ok(Choice {
                    version,
                    reason: pin.reason,
                    moved: None,
                });
            }
            Err(moved) => Some(moved),
        },
    };
    let (version, reason) = choose_unpinned(snapshot, profile, req, rng).ok_or_else(|| {
        errors::Refusal::new(
            errors::ResultCode::NoEndpoint,
            "no endpoint serves an allowed version",
        )
    })?;
    Ok(Choice {
        version,
        reason,
        moved,
    })
}

/// Returns the pinned version, or why the session has to move to another one. Refuses a
/// request without a session whose version is no longer allowed, and a session whose
/// rollout has no allotment left.
fn resolve_pin<'a>(
    snapshot: &control::Snapshot,
    profile: &'a control::ProfileView,
    pin: &route::Pin,
) -> Result<Result<&'a ids::VersionName, session::MoveReason>, errors::Refusal> {
    let in_session = pin.reason == route::Reason::Session;
    if let Some(view) = profile
        .versions
        .iter()
        .find(|view| view.name == pin.version)
    {
        return Ok(Ok(&view.name));
    }
    let in_rollout = profile
        .rollouts
        .iter()
        .find(|rollout| rollout.version.name == pin.version);
    match in_rollout {
        // A resumed answer has already been counted against the allotment.
        Some(rollout) if !in_session => Ok(Ok(&rollout.version.name)),
        // A rollout whose share is 0 has been stopped: the version gets no more requests of
        // the profile, not even from its sessions.
        Some(rollout) if rollout.share.get() > 0.0 => {
            if rollout.allotment.try_spend() {
                return Ok(Ok(&rollout.version.name));
            }
            Err(errors::Refusal::new(
                errors::ResultCode::Overloaded,
                "the session's version may give no more answers at present",
            )
            .with_retry_after(ALLOTMENT_RETRY_AFTER))
        }
        _ if !in_session => Err(errors::Refusal::new(
            errors::ResultCode::VersionWithdrawn,
            "the version is no longer allowed",
        )),
        _ if snapshot.withdrawn.contains(&pin.version) => {
            Ok(Err(session::MoveReason::VersionWithdrawn))
        }
        _ => Ok(Err(session::MoveReason::VersionNotAllowed)),
    }
}

fn choose_unpinned<'a>(
    snapshot: &control::Snapshot,
    profile: &'a control::ProfileView,
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Option<(&'a ids::VersionName, route::Reason)> {
    let is_served = |view: &&control::VersionView| has_endpoint(snapshot, &view.name, req);
    for rollout in &profile.rollouts {
        let is_drawn = rng.f64() < rollout.share.get();
        if is_drawn && is_served(&&rollout.version) && rollout.allotment.try_spend() {
            return Some((&rollout.version.name, route::Reason::Rollout));
        }
    }
    let target = profile.profile.quality_target;
    let estimate = |view: &control::VersionView| snapshot.estimates.get(&view.name, req.class);
    let meets_target =
        |view: &&control::VersionView| estimate(view).lower(view.version.prior_quality) >= target;
    let cheapest = profile.versions.iter().filter(is_served).find(meets_target);
    if rng.f64() < EXPLORE_FRACTION
        && let Some(view) = choose_explored(snapshot, profile, req, cheapest, rng)
    {
        return Some((&view.name, route::Reason::Explore));
    }
    if let Some(view) = cheapest {
        return Some((&view.name, route::Reason::CheapestAtTarget));
    }
    let mean = |view: &control::VersionView| estimate(view).mean(view.version.prior_quality).get();
    let best = profile
        .versions
        .iter()
        .filter(is_served)
        .max_by(|a, b| mean(a).total_cmp(&mean(b)));
    best.map(|view| (&view.name, route::Reason::BestBelowTarget))
}

/// Returns a random version whose prior meets the target, other than the cheapest that is
/// estimated to meet it. A version estimated below the target thereby gets the ratings it
/// needs to recover.
fn choose_explored<'a>(
    snapshot: &control::Snapshot,
    profile: &'a control::ProfileView,
    req: &route::RouteRequest<'_>,
    cheapest: Option<&control::VersionView>,
    rng: &mut Rng,
) -> Option<&'a control::VersionView> {
    let target = profile.profile.quality_target;
    let mut chosen = None;
    let mut count = 0.0;
    for view in &profile.versions {
        let is_cheapest = cheapest.is_some_and(|cheapest| cheapest.name == view.name);
        if !is_cheapest
            && view.version.prior_quality >= target
            && has_endpoint(snapshot, &view.name, req)
        {
            count += 1.0;
            if rng.f64() * count < 1.0 {
                chosen = Some(view);
            }
        }
    }
    chosen
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
