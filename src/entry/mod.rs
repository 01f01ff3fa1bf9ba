//! The role that serves callers.

mod ask;
mod chat;
mod completion;
mod cx;
mod effects;
mod generation;
mod handler;
mod links;
mod peers;
mod role;

pub use ask::{Ask, ChatRequest};
pub use cx::EntryCx;
pub use generation::{Generation, Step};
pub use links::Links;
pub use role::Entry;
