//! Applies `config` records to the catalog and keeps the tables of its objects up to date.

use std::sync::Arc;

use crate::catalog;
use crate::control;
use crate::ids;
use crate::replica;

/// Applies the tick's configuration records and answers operators' reads of the tables.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let before = replica_status(world);
    for event in &cx.events {
        match event {
            control::Event::ConfigPage(page) => {
                world.log_available = true;
                let advance = world.catalog.read(page);
                apply_advance(world, &advance);
            }
            control::Event::ConfigFromPeer(records) => {
                let advance = world.catalog.receive(records);
                apply_advance(world, &advance);
            }
            control::Event::LogFailed(_) => world.log_available = false,
            control::Event::ReadCatalog(reply) => {
                // The receiver may be gone; then the answer is not needed.
                let _ = reply.try_send((*world.catalog).clone());
            }
            control::Event::ReadEntries(reply) => {
                let rows = world.entries.iter().map(|(_, row)| row.clone());
                let _ = reply.try_send(rows.collect());
            }
            _ => {}
        }
    }
    cx.changed |= before != replica_status(world);
}

fn replica_status(world: &control::World) -> (Option<ids::Offset>, bool, bool) {
    (
        world.catalog.applied(),
        world.catalog.is_caught_up(),
        world.log_available,
    )
}

fn apply_advance(world: &mut control::World, advance: &replica::Advance<catalog::Record>) {
    if !advance.rebuilt {
        for record in &advance.records {
            apply_record(world, record);
        }
        return;
    }
    for record in &advance.records {
        world.catalog.machine_for(record).apply(record);
    }
    rebuild_tables(world);
    log::info!(
        "catalog: tables rebuilt, next offset {}.",
        world.catalog.next_offset()
    );
}

fn apply_record(world: &mut control::World, record: &catalog::Record) {
    let Some(verdict) = world.catalog.machine_for(record).apply(record) else {
        return;
    };
    let Some(catalog::Body::Change(change)) = &record.body else {
        return;
    };
    match verdict {
        catalog::ChangeOutcome::Accepted { offset, revision } if offset == record.offset => {
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
            update_object(world, &change.object, object);
        }
        catalog::ChangeOutcome::Accepted { .. } => {}
        catalog::ChangeOutcome::Rejected { reason, .. } => {
            log::info!(
                "catalog: change {} of {} rejected: {reason:?}.",
                change.id,
                change.object
            );
        }
    }
}

fn rebuild_tables(world: &mut control::World) {
    clear_tables(world);
    let objects: Vec<_> = world
        .catalog
        .iter()
        .map(|(id, _, object)| (id.clone(), object.clone()))
        .collect();
    for (id, object) in objects {
        update_object(world, &id, Some(object));
    }
}

/// Empties the tables of catalog objects. Otherwise an object that was deleted
/// in a record that this process has not seen would remain.
fn clear_tables(world: &mut control::World) {
    world.profiles.retain(|_, _| false);
    world.versions.retain(|_, _| false);
    world.services.retain(|_, _| false);
    world.teams.retain(|_, _| false);
    world.rollouts.retain(|_, _| false);
    world.domains_out_of_service.clear();
    world.vms_out_of_service.clear();
}

/// Puts an object into its table; `None` removes it.
fn update_object(
    world: &mut control::World,
    id: &catalog::ObjectId,
    object: Option<catalog::Object>,
) {
    match object {
        Some(object) => put_object(world, id, object),
        None => remove_object(world, id),
    }
}

fn put_object(world: &mut control::World, id: &catalog::ObjectId, object: catalog::Object) {
    // Names are validated before a change is appended; a record with an
    // invalid name has no effect in any process.
    macro_rules! named {
        ($name:ident => $put:expr) => {
            if let Ok($name) = id.name.parse() {
                $put;
            }
        };
    }
    match object {
        catalog::Object::Profile(profile) => named!(name => world.profiles.upsert(name, profile)),
        catalog::Object::Version(version) => named!(name => world.versions.upsert(name, version)),
        catalog::Object::Service(service) => named!(name => world.services.upsert(name, service)),
        catalog::Object::Team(team) => named!(name => world.teams.upsert(name, team)),
        catalog::Object::Domain(domain) => {
            named!(name => world.domains_out_of_service.insert(name, domain.out));
        }
        catalog::Object::Vm(vm) => named!(name => world.vms_out_of_service.insert(name, vm.out)),
        catalog::Object::Rollout(plan) => {
            world.rollouts.upsert(Arc::clone(&id.name), plan);
        }
    }
}

fn remove_object(world: &mut control::World, id: &catalog::ObjectId) {
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
        catalog::ObjectKind::Domains => named!(domains_out_of_service),
        catalog::ObjectKind::Vms => named!(vms_out_of_service),
        catalog::ObjectKind::Rollouts => {
            world.rollouts.remove(&id.name);
        }
    }
}
