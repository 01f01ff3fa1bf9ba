//! Applies configuration records and keeps the tables of objects.

use std::sync::Arc;

use crate::catalog;
use crate::control;
use crate::ids;

/// Runs the system.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let before = (
        world.catalog.applied(),
        world.caught_up,
        world.log_available,
    );
    for event in &cx.events {
        match event {
            control::Event::ConfigPage(page) => apply_page(world, page),
            control::Event::ConfigFromPeer(records) => apply_contiguous(world, records),
            control::Event::LogFailed(_) => world.log_available = false,
            control::Event::ReadCatalog(reply) => {
                // The asker may have gone; then nobody needs the answer.
                let _ = reply.try_send(world.catalog.clone());
            }
            control::Event::ReadEntries(reply) => {
                let rows = world.entries.iter().map(|(_, row)| row.clone());
                let _ = reply.try_send(rows.collect());
            }
            _ => {}
        }
    }
    if before
        != (
            world.catalog.applied(),
            world.caught_up,
            world.log_available,
        )
    {
        cx.changed = true;
    }
}

fn apply_page(world: &mut control::World, page: &control::LogPage<catalog::Record>) {
    world.log_available = true;
    if world.caught_up {
        for record in &page.records {
            apply(world, record);
        }
        return;
    }
    world.backlog.extend(page.records.iter().cloned());
    let next = world
        .backlog
        .last()
        .map_or(page.first_retained, |record| record.offset.next());
    if next >= page.end {
        bootstrap(world, page.first_retained);
    }
}

/// Records from other processes may start beyond what is applied; those wait
/// for the log or for another process.
fn apply_contiguous(world: &mut control::World, records: &[catalog::Record]) {
    for record in records {
        if world.caught_up && record.offset == world.catalog.next_offset() {
            apply(world, record);
        }
    }
}

/// Builds the catalog from the first whole read of the log.
fn bootstrap(world: &mut control::World, first_retained: ids::Offset) {
    let checkpoint = world
        .backlog
        .iter()
        .filter_map(checkpoint_of)
        .max_by_key(|checkpoint| checkpoint.covers);
    let mut catalog = catalog::Catalog::default();
    if let Some(checkpoint) = checkpoint {
        catalog.apply_checkpoint(checkpoint);
    }
    if first_retained > catalog.next_offset() {
        log::error!(
            "catalog: records before offset {first_retained} have expired and no checkpoint covers them. Not ready."
        );
        world.backlog.clear();
        return;
    }
    let backlog = std::mem::take(&mut world.backlog);
    world.catalog = catalog;
    world.caught_up = true;
    for record in &backlog {
        world.catalog.apply(record);
    }
    rebuild(world);
    log::info!(
        "catalog: in force up to next offset {}.",
        world.catalog.next_offset()
    );
}

fn checkpoint_of(record: &catalog::Record) -> Option<&catalog::Checkpoint> {
    match &record.body {
        Some(catalog::Body::Checkpoint(checkpoint)) => Some(checkpoint),
        _ => None,
    }
}

fn apply(world: &mut control::World, record: &catalog::Record) {
    let Some(verdict) = world.catalog.apply(record) else {
        return;
    };
    let Some(catalog::Body::Change(change)) = &record.body else {
        return;
    };
    match verdict {
        catalog::Verdict::Accepted { offset, revision } if offset == record.offset => {
            log::info!(
                "catalog: {} changed to revision {revision} by {} (change {}).",
                change.object,
                change.author,
                change.id
            );
            let object = world
                .catalog
                .get(&change.object)
                .map(|(_, object)| object.clone());
            update(world, &change.object, object);
        }
        catalog::Verdict::Accepted { .. } => {}
        catalog::Verdict::Rejected { reason, .. } => {
            log::info!(
                "catalog: change {} of {} rejected: {reason:?}.",
                change.id,
                change.object
            );
        }
    }
}

fn rebuild(world: &mut control::World) {
    let objects: Vec<_> = world
        .catalog
        .iter()
        .map(|(id, _, object)| (id.clone(), object.clone()))
        .collect();
    for (id, object) in objects {
        update(world, &id, Some(object));
    }
}

/// Puts an object into its table, or removes it.
fn update(world: &mut control::World, id: &catalog::ObjectId, object: Option<catalog::Object>) {
    match object {
        Some(object) => put(world, id, object),
        None => remove(world, id),
    }
}

fn put(world: &mut control::World, id: &catalog::ObjectId, object: catalog::Object) {
    // Names are checked before a change is appended; a record with another
    // name has no effect, in every process alike.
    macro_rules! named {
        ($name:ident => $put:expr) => {
            if let Ok($name) = id.name.parse() {
                $put;
            }
        };
    }
    match object {
        catalog::Object::Profile(profile) => named!(name => world.profiles.put(name, profile)),
        catalog::Object::Version(version) => named!(name => world.versions.put(name, version)),
        catalog::Object::Service(service) => named!(name => world.services.put(name, service)),
        catalog::Object::Team(team) => named!(name => world.teams.put(name, team)),
        catalog::Object::Domain(domain) => {
            named!(name => world.domains_out.insert(name, domain.out));
        }
        catalog::Object::Vm(vm) => named!(name => world.vms_out.insert(name, vm.out)),
        catalog::Object::Rollout(plan) => {
            world.rollouts.put(Arc::clone(&id.name), plan);
        }
    }
}

fn remove(world: &mut control::World, id: &catalog::ObjectId) {
    macro_rules! named {
        ($table:ident) => {
            if let Ok(name) = id.name.parse() {
                world.$table.remove(&name);
            }
        };
    }
    match id.kind {
        catalog::ObjectKind::Profiles => named!(profiles),
        catalog::ObjectKind::Versions => named!(versions),
        catalog::ObjectKind::Services => named!(services),
        catalog::ObjectKind::Teams => named!(teams),
        catalog::ObjectKind::Domains => named!(domains_out),
        catalog::ObjectKind::Vms => named!(vms_out),
        catalog::ObjectKind::Rollouts => {
            world.rollouts.remove(&id.name);
        }
    }
}
