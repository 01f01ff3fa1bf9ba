//! Integration tests with real processes and stand-ins.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod admin;
mod admin_log;
mod admission;
mod append;
mod bad_input;
mod billing;
mod calls;
mod cascade;
mod catalog;
mod cli;
mod control_proofs;
mod crowd;
mod daemon;
mod demo;
mod direct;
mod docs;
mod driver;
mod end_to_end;
mod evidence;
mod harness;
mod lease;
mod ledger;
mod membership;
mod proofs;
mod rollouts;
mod route;
mod service_calls;
mod session;
mod sidecar;
mod soak;
mod standins;
mod systems;
mod testing;
mod values;
