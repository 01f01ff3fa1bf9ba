//! Systems: functions that run over the tables each tick.

use crate::control;

pub mod config;
pub mod inventory;
pub mod links;
pub mod snapshot;
pub mod stop;

/// Systems of an entry.
pub const ENTRY: control::Systems = &[stop::run, config::run, inventory::run, links::run];

/// Systems of a process beside an endpoint.
pub const SIDECAR: control::Systems = &[stop::run, config::run];
