//! Validation of an object against the catalog before its change is appended.

use std::fmt;
use std::sync::Arc;

use crate::catalog;
use crate::ids;
use crate::rollout;
use crate::units;

/// An invalid field of an object, as reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// Path of the field, e.g. `versions[1]`.
    pub field: Arc<str>,
    /// Why the value is invalid.
    pub reason: Arc<str>,
}

impl InvalidValue {
    fn new(field: impl Into<Arc<str>>, reason: impl Into<Arc<str>>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for InvalidValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for InvalidValue {}

/// Checks new content of the object `id`, or its deletion when `content` is `None`.
///
/// The result is advisory, as it depends on the records applied by this process;
/// the log decides between concurrent changes.
pub fn check(
    catalog: &catalog::Catalog,
    id: &catalog::ObjectId,
    content: Option<&catalog::Object>,
) -> Result<(), InvalidValue> {
    match content {
        Some(catalog::Object::Profile(profile)) => check_profile(catalog, profile),
        Some(catalog::Object::Service(service)) => check_service(catalog, service),
        Some(catalog::Object::Team(team)) => check_team(catalog, id, team),
        Some(catalog::Object::Rollout(plan)) => check_rollout(catalog, id, plan),
        Some(catalog::Object::Version(_) | catalog::Object::Domain(_) | catalog::Object::Vm(_)) => {
            Ok(())
        }
        None => check_unreferenced(catalog, id),
    }
}

fn check_profile(
    catalog: &catalog::Catalog,
    profile: &catalog::Profile,
) -> Result<(), InvalidValue> {
    check_teams(catalog, &profile.teams)?;
    if profile.versions.is_empty() {
        return Err(InvalidValue::new("versions", "needs at least one version"));
    }
    for (i, version) in profile.versions.iter().enumerate() {
        if !exists(catalog, catalog::ObjectKind::Versions, version.as_str()) {
            let reason = format!("version {version} is not published");
            return Err(InvalidValue::new(format!("versions[{i}]"), reason));
        }
        if profile.versions[..i].contains(version) {
            let reason = format!("version {version} is listed twice");
            return Err(InvalidValue::new(format!("versions[{i}]"), reason));
        }
    }
    check_deadline(profile.deadline_ms)
}

fn check_service(
    catalog: &catalog::Catalog,
    service: &catalog::Service,
) -> Result<(), InvalidValue> {
    check_teams(catalog, &service.teams)?;
    for (i, method) in service.idempotent_methods.iter().enumerate() {
        if method.is_empty() || !method.bytes().all(|b| b.is_ascii_alphabetic()) {
            let field = format!("idempotent_methods[{i}]");
            return Err(InvalidValue::new(field, "expected an HTTP method"));
        }
    }
    check_deadline(service.deadline_ms)
}

fn check_team(
    catalog: &catalog::Catalog,
    id: &catalog::ObjectId,
    team: &catalog::Team,
) -> Result<(), InvalidValue> {
    if team.max_concurrent == 0 {
        return Err(InvalidValue::new("max_concurrent", "must be at least 1"));
    }
    for (other, _, object) in catalog.iter().filter(|(other, ..)| *other != id) {
        let catalog::Object::Team(present) = object else {
            continue;
        };
        let shared = team
            .token_sha256
            .iter()
            .position(|token| present.token_sha256.contains(token));
        if let Some(i) = shared {
            let reason = format!("{other} has the same token");
            return Err(InvalidValue::new(format!("token_sha256[{i}]"), reason));
        }
    }
    Ok(())
}

fn check_rollout(
    catalog: &catalog::Catalog,
    id: &catalog::ObjectId,
    plan: &catalog::RolloutPlan,
) -> Result<(), InvalidValue> {
    let profile_id =
        catalog::ObjectId::new(catalog::ObjectKind::Profiles, plan.profile.to_string());
    if catalog.get(&profile_id).is_none() {
        let reason = format!("no profile {}", plan.profile);
        return Err(InvalidValue::new("profile", reason));
    }
    // The profile need not list the version yet: a listed version without a
    // rollout serves all requests, so the rollout has to exist first.
    if !exists(
        catalog,
        catalog::ObjectKind::Versions,
        plan.version.as_str(),
    ) {
        let reason = format!("version {} does not exist", plan.version);
        return Err(InvalidValue::new("version", reason));
    }
    let duplicate = catalog.iter().find(|(other, _, object)| {
        *other != id
            && matches!(object, catalog::Object::Rollout(present)
                if present.profile == plan.profile && present.version == plan.version)
    });
    match duplicate {
        Some((other, ..)) => {
            let reason = format!("{other} already rolls this version out to the profile");
            Err(InvalidValue::new("version", reason))
        }
        None => Ok(()),
    }
}

/// Checks a change of a rollout against its progress in the ledger.
///
/// A listed version without a rollout serves all requests of its profile, so an
/// incomplete order can't be removed or redirected while the profile lists its
/// version. A name whose rollout has ended can't be used again for the same version,
/// since the new rollout would be complete, or stopped, from its start.
pub fn check_rollout_change(
    catalog: &catalog::Catalog,
    id: &catalog::ObjectId,
    content: Option<&catalog::Object>,
    progress: Option<&rollout::Progress>,
) -> Result<(), InvalidValue> {
    let present = match catalog.get(id) {
        Some((_, catalog::Object::Rollout(plan))) => Some(plan),
        _ => None,
    };
    let next = match content {
        Some(catalog::Object::Rollout(plan)) => Some(plan),
        _ => None,
    };
    match (present, next) {
        (Some(present), next) if next.is_none_or(|next| !next.has_same_target(present)) => {
            let is_complete = progress.is_some_and(|row| {
                row.matches_plan(present) && matches!(row, rollout::Progress::Complete(_))
            });
            if is_complete || !is_listed(catalog, present) {
                return Ok(());
            }
            let reason = format!(
                "profile {} lists version {}, which would serve it in full; unlist it first",
                present.profile, present.version
            );
            Err(InvalidValue::new("version", reason))
        }
        (None, Some(next)) => match progress {
            Some(row @ (rollout::Progress::Complete(_) | rollout::Progress::Stopped(_)))
                if row.matches_plan(next) =>
            {
                let reason = "an ended roll-out of this version has this name; use another name";
                Err(InvalidValue::new("name", reason))
            }
            _ => Ok(()),
        },
        _ => Ok(()),
    }
}

fn is_listed(catalog: &catalog::Catalog, plan: &catalog::RolloutPlan) -> bool {
    let id = catalog::ObjectId::new(catalog::ObjectKind::Profiles, plan.profile.to_string());
    matches!(catalog.get(&id), Some((_, catalog::Object::Profile(profile)))
        if profile.versions.contains(&plan.version))
}

/// Checks that no other object refers to an object that is to be deleted, as the
/// reference would dangle.
fn check_unreferenced(
    catalog: &catalog::Catalog,
    id: &catalog::ObjectId,
) -> Result<(), InvalidValue> {
    let referrer = catalog.iter().find(|(_, _, object)| refers_to(object, id));
    match referrer {
        Some((referrer, ..)) => Err(InvalidValue::new("name", format!("{referrer} uses {id}"))),
        None => Ok(()),
    }
}

fn refers_to(object: &catalog::Object, id: &catalog::ObjectId) -> bool {
    let name = &*id.name;
    let has_team = |teams: &[ids::TeamName]| teams.iter().any(|team| team.as_str() == name);
    match (id.kind, object) {
        (catalog::ObjectKind::Teams, catalog::Object::Profile(profile)) => has_team(&profile.teams),
        (catalog::ObjectKind::Teams, catalog::Object::Service(service)) => has_team(&service.teams),
        (catalog::ObjectKind::Versions, catalog::Object::Profile(profile)) => profile
            .versions
            .iter()
            .any(|version| version.as_str() == name),
        (catalog::ObjectKind::Versions, catalog::Object::Rollout(plan)) => {
            plan.version.as_str() == name
        }
        (catalog::ObjectKind::Profiles, catalog::Object::Rollout(plan)) => {
            plan.profile.as_str() == name
        }
        _ => false,
    }
}

fn check_teams(catalog: &catalog::Catalog, teams: &[ids::TeamName]) -> Result<(), InvalidValue> {
    for (i, team) in teams.iter().enumerate() {
        if !exists(catalog, catalog::ObjectKind::Teams, team.as_str()) {
            let reason = format!("no team {team}");
            return Err(InvalidValue::new(format!("teams[{i}]"), reason));
        }
    }
    Ok(())
}

fn check_deadline(deadline: units::Millis) -> Result<(), InvalidValue> {
    if deadline == units::Millis(0) {
        return Err(InvalidValue::new("deadline_ms", "must be at least 1"));
    }
    Ok(())
}

fn exists(catalog: &catalog::Catalog, kind: catalog::ObjectKind, name: &str) -> bool {
    catalog.get(&catalog::ObjectId::new(kind, name)).is_some()
}
