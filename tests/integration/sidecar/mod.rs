//! Tests of the sidecar over a real connection: its replies and reports to an entry.

mod engine;
mod fixture;
mod service;
