//! Choice of a version.

use fastrand::Rng;

use crate::control;
use crate::errors;
use crate::ids;
use crate::route;
use crate::session;
use crate::units;

/// Share of requests by which versions that may meet the target get ratings.
const EXPLORE_SHARE: f64 = 0.02;
/// Hint where a roll-out's allotment is used up; the next one comes within seconds.
const ALLOTMENT_RETRY: units::Millis = units::Millis(2_000);

/// A version, and why.
pub struct Choice<'a> {
    /// The version.
    pub version: &'a ids::VersionName,
    /// Why.
    pub reason: route::Reason,
    /// Why the session's version was not kept, where it was not.
    pub moved: Option<session::Moved>,
}

/// Chooses the version.
pub fn choose<'a>(
    snapshot: &control::Snapshot,
    profile: &'a control::ProfileView,
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Result<Choice<'a>, errors::Refusal> {
    let moved = match &req.pin {
        None => None,
        Some(pin) => match pinned(snapshot, profile, pin)? {
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
    let (version, reason) = free(snapshot, profile, req, rng).ok_or_else(|| {
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

/// The pinned version, or why the session has to move.
fn pinned<'a>(
    snapshot: &control::Snapshot,
    profile: &'a control::ProfileView,
    pin: &route::Pin,
) -> Result<Result<&'a ids::VersionName, session::Moved>, errors::Refusal> {
    let in_session = pin.reason == route::Reason::Session;
    if let Some(view) = profile
        .versions
        .iter()
        .find(|view| view.name == pin.version)
    {
        return Ok(Ok(&view.name));
    }
    let entering = profile
        .rollouts
        .iter()
        .find(|rollout| rollout.version.name == pin.version);
    match entering {
        // A resumed answer has been counted against the allotment before.
        Some(rollout) if !in_session => Ok(Ok(&rollout.version.name)),
        // A roll-out without a share has been stopped: the version gets no
        // more requests of the profile, also not of its sessions.
        Some(rollout) if rollout.share.get() > 0.0 => {
            if rollout.allotment.try_spend() {
                return Ok(Ok(&rollout.version.name));
            }
            Err(errors::Refusal::new(
                errors::ResultCode::Overloaded,
                "the session's version may give no more answers at present",
            )
            .retry_after(ALLOTMENT_RETRY))
        }
        _ if !in_session => Err(errors::Refusal::new(
            errors::ResultCode::VersionWithdrawn,
            "the version is no longer allowed",
        )),
        _ if snapshot.withdrawn.contains(&pin.version) => Ok(Err(session::Moved::VersionWithdrawn)),
        _ => Ok(Err(session::Moved::VersionNotAllowed)),
    }
}

fn free<'a>(
    snapshot: &control::Snapshot,
    profile: &'a control::ProfileView,
    req: &route::RouteRequest<'_>,
    rng: &mut Rng,
) -> Option<(&'a ids::VersionName, route::Reason)> {
    let served = |view: &&control::VersionView| has_endpoint(snapshot, &view.name, req);
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
    let cheapest = profile.versions.iter().filter(served).find(meets);
    if rng.f64() < EXPLORE_SHARE
        && let Some(view) = explored(snapshot, profile, req, cheapest, rng)
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
        .filter(served)
        .max_by(|a, b| mean(a).total_cmp(&mean(b)));
    best.map(|view| (&view.name, route::Reason::BestBelowTarget))
}

/// A random version whose prior meets the target, other than the cheapest that
/// is estimated to meet it. One that is estimated below the target gets the
/// ratings by which it may prove itself again.
fn explored<'a>(
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
        let chosen_anyway = cheapest.is_some_and(|cheapest| cheapest.name == view.name);
        if !chosen_anyway
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
