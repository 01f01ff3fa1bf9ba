//! Small stand-ins for the platform's services and for endpoints, used by tests,
//! benchmarks and the demo, and proxies that inject faults.

mod answer;
mod certs;
mod engine;
mod engine_api;
mod engine_core;
mod engine_orders;
mod engine_profile;
mod faults;
mod groups;
mod inventory;
mod log;
mod main;
mod prefix_cache;
mod rating;
mod serve;
mod service;
mod tcp_proxy;
mod topics;
mod udp_proxy;
mod weights;

pub use answer::{answer_text, answer_token};
pub use certs::{Authority, CertError};
pub use engine::StandinEngine;
pub use engine_api::EngineCommand;
pub use engine_core::{EngineStats, Served};
pub use engine_profile::{ColdStart, EngineProfile};
pub use faults::Faults;
pub use inventory::{InventoryCommand, StandinInventory};
pub use log::StandinLog;
pub use main::main;
pub use rating::{RatingCommand, StandinRating};
pub use service::{ServiceCommand, StandinService};
pub use tcp_proxy::TcpProxy;
pub use topics::{LogCommand, LogCopy, Outage};
pub use udp_proxy::UdpProxy;
pub use weights::{StandinWeights, WeightsCommand, WeightsStats};
