//! Tests with real processes and stand-ins.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod billing;
mod calls;
mod catalog;
mod evidence;
mod route;
mod session;
mod testing;
mod thin_path;
mod values;
