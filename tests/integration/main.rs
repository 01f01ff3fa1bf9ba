//! Tests with real processes and stand-ins.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod catalog;
mod demo;
mod harness;
mod standins;
mod testing;
mod thin_path;
mod values;
