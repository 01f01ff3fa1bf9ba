//! Tests with real processes and stand-ins.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod append;
mod catalog;
mod driver;
mod lease;
mod ledger;
mod membership;
mod systems;
mod testing;
mod thin_path;
mod values;
