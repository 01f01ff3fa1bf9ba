//! The role that serves callers.

mod appender;
mod ask;
mod bill;
mod chat;
mod completion;
mod cx;
mod dispatcher;
mod effects;
mod generation;
mod handler;
mod input;
mod links;
mod role;
mod usage;

pub use ask::{Ask, ChatRequest};
pub use cx::EntryCx;
pub use generation::{Generation, Step};
pub use links::Links;
pub use role::Entry;
