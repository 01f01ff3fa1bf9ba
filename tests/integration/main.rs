//! Tests with real processes and stand-ins.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod admission;
mod catalog;
mod sidecar;
mod testing;
mod thin_path;
mod values;
