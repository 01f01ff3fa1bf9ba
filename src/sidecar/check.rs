//! Checks whether an attempt may run, against state that the entry may not
//! have received yet.

use crate::attempt;
use crate::control;
use crate::errors;
use crate::ids;
use crate::poison;
use crate::settings;
use crate::sidecar::cx;

/// Checks whether the attempt may be forwarded to the endpoint now. Called on
/// arrival and again after a wait in the queue, since configuration changes and
/// operators' orders apply to waiting work too.
pub fn check_dispatch(
    cx: &cx::SidecarCx,
    dispatch: &attempt::Dispatch,
) -> Result<(), errors::Refusal> {
    let snapshot = cx.control.snapshot();
    check_process(cx, &snapshot)?;
    if snapshot.quarantine.suspicion(dispatch.fingerprint) == poison::Suspicion::Quarantined {
        return Err(errors::Refusal::new(
            errors::ResultCode::Quarantined,
            "the request has crashed endpoints",
        ));
    }
    if cx.with_usage_copies(|copies| copies.is_nearly_full()) {
        return Err(errors::Refusal::new(
            errors::ResultCode::UsageQueueFull,
            "the usage queue is full while the log is unavailable",
        ));
    }
    check_work(cx, &snapshot, dispatch)
}

/// Checks whether the process accepts any work.
pub fn check_process(
    cx: &cx::SidecarCx,
    snapshot: &control::Snapshot,
) -> Result<(), errors::Refusal> {
    if cx.is_stopping() || snapshot.phase == control::Phase::Stopping {
        return Err(errors::Refusal::new(
            errors::ResultCode::Draining,
            "the process is stopping",
        ));
    }
    if !snapshot.is_serving() {
        return Err(errors::Refusal::new(
            errors::ResultCode::NotReady,
            "the process has not read its configuration yet",
        ));
    }
    if snapshot.self_out_of_service {
        return Err(errors::Refusal::new(
            errors::ResultCode::TakenOut,
            "the failure domain or the VM is taken out",
        ));
    }
    if snapshot.is_self_leaving() {
        return Err(errors::Refusal::new(
            errors::ResultCode::Draining,
            "the VM is leaving",
        ));
    }
    Ok(())
}

fn check_work(
    cx: &cx::SidecarCx,
    snapshot: &control::Snapshot,
    dispatch: &attempt::Dispatch,
) -> Result<(), errors::Refusal> {
    let status = cx.engine_status();
    match (&dispatch.work, &cx.cfg.endpoint) {
        (
            attempt::Work::Model {
                profile, version, ..
            },
            settings::EndpointSettings::Engine { .. },
        ) => {
            check_version(snapshot, &dispatch.team, profile, version)?;
            let status = status.ok_or_else(unreachable)?;
            check_loaded(&status.versions, version)
        }
        (
            attempt::Work::Service { service, call, .. },
            settings::EndpointSettings::Service { name },
        ) if service == name => {
            if call.is_some_and(|call| call.incarnation != cx.identity.incarnation) {
                return Err(errors::Refusal::new(
                    errors::ResultCode::IncarnationMismatch,
                    "the call was meant for another run of the process",
                ));
            }
            status.map(|_| ()).ok_or_else(unreachable)
        }
        _ => Err(errors::Refusal::new(
            errors::ResultCode::NoEndpoint,
            "the endpoint does not serve this kind of work",
        )),
    }
}

/// Returns the refusal for an endpoint that does not answer its status query.
fn unreachable() -> errors::Refusal {
    errors::Refusal::new(
        errors::ResultCode::Unreachable,
        "the endpoint does not answer",
    )
}

fn check_version(
    snapshot: &control::Snapshot,
    team: &ids::TeamName,
    profile: &ids::ProfileName,
    version: &ids::VersionName,
) -> Result<(), errors::Refusal> {
    if snapshot.withdrawn.contains(version) {
        return Err(errors::Refusal::new(
            errors::ResultCode::VersionWithdrawn,
            "the version is withdrawn",
        ));
    }
    let allowed = snapshot.profiles.get(profile).is_some_and(|view| {
        view.profile.teams.contains(team) && view.profile.versions.contains(version)
    });
    if !allowed {
        return Err(errors::Refusal::new(
            errors::ResultCode::NotAllowed,
            "the profile does not allow the version, or the team may not use it",
        ));
    }
    Ok(())
}

fn check_loaded(
    loaded: &[ids::VersionName],
    version: &ids::VersionName,
) -> Result<(), errors::Refusal> {
    if loaded.contains(version) {
        return Ok(());
    }
    Err(errors::Refusal::new(
        errors::ResultCode::VersionNotLoaded,
        "the endpoint does not serve the version",
    ))
}
