//! Commands that change objects.
//!
//! Unless a base is given, each command reads the revision of the object first;
//! the change fails where the object has changed since then.

use std::fs;
use std::path::Path;

use serde_json::{Value, json};

use crate::admin;
use crate::catalog;
use crate::cli;
use crate::cli::{flags, show, table, target};
use crate::ids;

/// Creates or replaces an object with the content of a JSON file.
pub async fn put(cx: &cli::Context, flags: flags::Put) -> Result<(), cli::Failure> {
    let content = read_file(&flags.file)?;
    let id = catalog::ObjectId::new(flags.kind, flags.name.to_string());
    let condition = condition(cx, &id, flags.base).await?;
    submit(cx, &id, condition, Some(&content), flags.dry_run).await
}

/// Deletes an object at the given base revision, or at its current one by default.
pub async fn delete(cx: &cli::Context, flags: flags::Delete) -> Result<(), cli::Failure> {
    let id = catalog::ObjectId::new(flags.kind, flags.name.to_string());
    let base = match flags.base {
        Some(base) => base,
        None => show::require_object(cx, &id).await?.0,
    };
    let condition = admin::Condition::Match(base);
    submit(cx, &id, condition, None, flags.dry_run).await
}

/// Takes a failure domain or VM out of service, or brings it back.
pub async fn set_out(
    cx: &cli::Context,
    target_kind: target::DrainTarget,
    name: &ids::ProfileName,
    out: bool,
) -> Result<(), cli::Failure> {
    let kind = match target_kind {
        target::DrainTarget::Domain => catalog::ObjectKind::Domains,
        target::DrainTarget::Vm => catalog::ObjectKind::Vms,
    };
    let id = catalog::ObjectId::new(kind, name.as_str());
    let condition = condition(cx, &id, None).await?;
    submit(cx, &id, condition, Some(&json!({ "out": out })), false).await
}

/// Withdraws a version, or publishes a withdrawn version again.
pub async fn set_withdrawn(
    cx: &cli::Context,
    version: &ids::VersionName,
    withdrawn: bool,
) -> Result<(), cli::Failure> {
    let id = catalog::ObjectId::new(catalog::ObjectKind::Versions, version.as_str());
    set_member(cx, &id, "withdrawn", json!(withdrawn)).await
}

/// Publishes a version from a file; without a file, publishes a withdrawn version again.
pub async fn publish(cx: &cli::Context, flags: flags::Publish) -> Result<(), cli::Failure> {
    let Some(file) = flags.file else {
        return set_withdrawn(cx, &flags.version, false).await;
    };
    let content = read_file(&file)?;
    let id = catalog::ObjectId::new(catalog::ObjectKind::Versions, flags.version.as_str());
    let condition = condition(cx, &id, None).await?;
    submit(cx, &id, condition, Some(&content), false).await
}

/// Starts a rollout. Creates the rollout before it lists the version in the
/// profile, since a listed version without a rollout serves the profile in full.
pub async fn start_rollout(cx: &cli::Context, flags: flags::Start) -> Result<(), cli::Failure> {
    let id = rollout_id(&flags.name);
    let version = json!(flags.version);
    let profile_id = catalog::ObjectId::new(catalog::ObjectKind::Profiles, flags.profile.as_str());
    let (profile_base, mut profile) = show::require_object(cx, &profile_id).await?;
    let versions = profile["versions"].as_array_mut();
    let unlisted = versions.filter(|versions| !versions.contains(&version));
    let content = json!({ "profile": flags.profile, "version": version });
    if unlisted.is_none() || !is_created(cx, &id, &content).await? {
        submit(cx, &id, admin::Condition::Absent, Some(&content), false).await?;
    }
    let Some(versions) = unlisted else {
        return Ok(());
    };
    versions.push(version);
    let condition = admin::Condition::Match(profile_base);
    submit(cx, &profile_id, condition, Some(&profile), false).await
}

/// Returns whether the rollout exists with this content already, created by a
/// previous start that was interrupted before it listed the version.
async fn is_created(
    cx: &cli::Context,
    id: &catalog::ObjectId,
    content: &Value,
) -> Result<bool, cli::Failure> {
    let current = cx.client.object(id).await?;
    Ok(current.is_some_and(|(_, plan)| {
        plan["profile"] == content["profile"] && plan["version"] == content["version"]
    }))
}

/// Pauses a rollout at its present step, or resumes it.
pub async fn set_paused(
    cx: &cli::Context,
    name: &ids::ProfileName,
    paused: bool,
) -> Result<(), cli::Failure> {
    set_member(cx, &rollout_id(name), "paused", json!(paused)).await
}

/// Stops a rollout. Removes the version from the profile before it deletes the
/// rollout, since a listed version without a rollout serves the profile in full.
pub async fn stop_rollout(cx: &cli::Context, name: &ids::ProfileName) -> Result<(), cli::Failure> {
    let id = rollout_id(name);
    let (base, plan) = show::require_object(cx, &id).await?;
    let profile = plan["profile"].as_str().unwrap_or_default();
    let profile_id = catalog::ObjectId::new(catalog::ObjectKind::Profiles, profile);
    let (profile_base, mut profile) = show::require_object(cx, &profile_id).await?;
    if let Some(versions) = profile["versions"].as_array_mut() {
        let before = versions.len();
        versions.retain(|version| *version != plan["version"]);
        if versions.len() < before {
            let condition = admin::Condition::Match(profile_base);
            submit(cx, &profile_id, condition, Some(&profile), false).await?;
        }
    }
    submit(cx, &id, admin::Condition::Match(base), None, false).await
}

fn rollout_id(name: &ids::ProfileName) -> catalog::ObjectId {
    catalog::ObjectId::new(catalog::ObjectKind::Rollouts, name.as_str())
}

async fn set_member(
    cx: &cli::Context,
    id: &catalog::ObjectId,
    member: &str,
    value: Value,
) -> Result<(), cli::Failure> {
    let (base, mut content) = show::require_object(cx, id).await?;
    content[member] = value;
    let condition = admin::Condition::Match(base);
    submit(cx, id, condition, Some(&content), false).await
}

async fn condition(
    cx: &cli::Context,
    id: &catalog::ObjectId,
    base: Option<ids::Revision>,
) -> Result<admin::Condition, cli::Failure> {
    if let Some(base) = base {
        return Ok(admin::Condition::Match(base));
    }
    let current = cx.client.object(id).await?;
    Ok(current.map_or(admin::Condition::Absent, |(revision, _)| {
        admin::Condition::Match(revision)
    }))
}

async fn submit(
    cx: &cli::Context,
    id: &catalog::ObjectId,
    condition: admin::Condition,
    content: Option<&Value>,
    dry_run: bool,
) -> Result<(), cli::Failure> {
    let answer = cx.client.change(id, condition, content, dry_run).await?;
    if dry_run {
        cx.print(&answer, changed_fields);
    } else {
        let text = format!("{id}: accepted, revision {}", answer["revision"]);
        cx.print_line(&answer, &text);
    }
    Ok(())
}

/// Builds a table of the fields that the change of a dry run would alter.
fn changed_fields(answer: &Value) -> cli::Table {
    let (before, after) = (&answer["before"], &answer["after"]);
    let mut changed = cli::Table::new(&["field", "before", "after"]);
    let names = before.as_object().into_iter().chain(after.as_object());
    let mut names: Vec<&String> = names.flat_map(serde_json::Map::keys).collect();
    names.sort();
    names.dedup();
    for name in names
        .into_iter()
        .filter(|name| before[*name] != after[*name])
    {
        let cell = |object: &Value| table::cell(&object[name]);
        changed.add_row(vec![name.clone(), cell(before), cell(after)]);
    }
    changed
}

fn read_file(path: &Path) -> Result<Value, cli::Failure> {
    let text = fs::read_to_string(path)
        .map_err(|err| cli::Failure::usage(format!("{}: {err}", path.display())))?;
    serde_json::from_str(&text)
        .map_err(|err| cli::Failure::usage(format!("{}: {err}", path.display())))
}
