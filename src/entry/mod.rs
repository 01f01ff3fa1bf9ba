//! The entry role: accepts requests of callers and routes them to endpoints.

mod at_most_once;
mod bill;
mod call_registry;
mod cascade;
mod chat;
mod completion;
mod config_lag;
mod cx;
mod dispatcher;
mod effects;
mod evidence;
mod generation;
mod handler;
mod input;
mod links;
mod model_request;
mod peers;
mod ratings;
mod role;
mod service;
mod service_dispatcher;
mod service_request;
mod usage;

pub use call_registry::CallRegistry;
pub use cx::EntryCx;
pub use generation::{AnswerPart, Generation};
pub use links::Links;
pub use model_request::{ChatRequest, ModelRequest};
pub use ratings::{Ratings, Sample};
pub use role::Entry;
pub use service_request::ServiceRequest;
