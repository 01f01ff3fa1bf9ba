//! The platform's interface: header and field names, record formats and store calls.
//!
//! This module only encodes, decodes and transports; decisions are made elsewhere.

mod append_once;
mod appender;
pub mod crash_record;
pub mod direct_settings;
pub mod endpoint_record;
pub mod endpoint_status;
mod error;
pub mod evidence_record;
pub mod group;
pub mod headers;
pub mod limit_record;
mod log_client;
mod newest;
pub mod operator;
mod page;
mod record;
pub mod report;
pub mod rollout_status;
mod store;
pub mod store_call;
mod target;

use error::malformed;

pub use append_once::append_once;
pub use appender::Appender;
pub use error::PlatformError;
pub use log_client::LogClient;
pub use newest::{KeyedRecord, NewestPage};
pub use page::{AppendResult, LogRecord, Page, Stream};
pub use record::{has_keys, split_key, split_raw_key, with_key};
pub use store::{AppendOutcome, ReadOutcome, RecordBatch, StoreClient};
pub use store_call::StoreCall;
