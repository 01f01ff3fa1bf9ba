//! A model-aware request router: it places requests on model versions and
//! cascades of models, and forwards calls to plain services.
//!
//! `docs/design.md` describes the modules and how they work together.

pub mod admin;
pub mod admission;
pub mod attempt;
pub mod balance;
pub mod bench;
pub mod billing;
pub mod calls;
pub mod cascade;
pub mod catalog;
pub mod cli;
pub mod control;
pub mod daemon;
pub mod demo;
pub mod direct;
pub mod entry;
pub mod errors;
pub mod estimate;
pub mod feed;
pub mod fleet;
pub mod gateway;
pub mod http;
pub mod ids;
pub mod lease;
pub mod ledger;
pub mod observe;
pub mod peers;
pub mod platform;
pub mod platform_clients;
pub mod poison;
pub mod replica;
pub mod rollout;
pub mod room;
pub mod route;
pub mod runtime;
pub mod session;
pub mod settings;
pub mod sidecar;
pub mod standin;
pub mod system;
pub mod table;
pub mod units;
pub mod wire;
