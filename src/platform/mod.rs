//! Clients of the platform's services: HTTP with JSON.

mod append_once;
mod appender;
mod error;
mod inventory;
mod log_client;
mod page;
mod rating;

pub use append_once::append_once;
pub use appender::Appender;
pub use error::PlatformError;
pub use inventory::{Inventory, Vm, VmState};
pub use log_client::LogClient;
pub use page::{Append, LogRecord, Page, Stream};
pub use rating::{RateRequest, Rating};
