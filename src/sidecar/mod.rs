//! The role beside an endpoint: admission and the endpoint's protocol.

mod check;
mod crash;
mod cx;
mod engine;
mod engine_stream;
mod health;
mod model;
mod order;
mod place;
mod role;
mod run;
mod server;
mod service;
mod updates;
mod usage;

pub use cx::SidecarCx;
pub use engine::{Engine, EngineStatus, StartError};
pub use engine_stream::{EngineEvent, EngineStream};
pub use role::Sidecar;
pub use service::ServiceClient;
