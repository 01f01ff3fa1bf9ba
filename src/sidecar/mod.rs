//! The role beside an endpoint: admission and the endpoint's protocol.

mod check;
mod crash;
mod cx;
mod engine;
mod health;
mod model;
mod order;
mod place;
mod role;
mod run;
mod server;
mod service;
mod usage;

pub use cx::SidecarCx;
pub use engine::{Engine, EngineEvent, EngineStatus};
pub use role::Sidecar;
pub use service::ServiceClient;
