//! Small stand-ins for the platform and for engines, for tests and the demo.

mod certs;
mod engine;
mod inventory;
mod log;
mod rating;
mod serve;
mod service;
mod streams;

pub use certs::{Authority, CertError};
pub use engine::{EngineProfile, StandinEngine, answer_text, answer_token};
pub use inventory::StandinInventory;
pub use log::StandinLog;
pub use rating::{RatingCommand, StandinRating};
pub use service::{ServiceCommand, StandinService};
pub use streams::{LogCommand, Outage};
