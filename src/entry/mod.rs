//! The role that serves callers.

mod appender;
mod ask;
mod bill;
mod call_book;
mod cascade;
mod chat;
mod completion;
mod cx;
mod dispatcher;
mod effects;
mod evidence;
mod generation;
mod handler;
mod input;
mod links;
mod once;
mod peers;
mod ratings;
mod role;
mod service;
mod service_ask;
mod service_run;
mod usage;

pub use ask::{Ask, ChatRequest};
pub use call_book::CallBook;
pub use cx::EntryCx;
pub use generation::{Generation, Step};
pub use links::Links;
pub use ratings::{Ratings, Sample};
pub use role::Entry;
pub use service_ask::ServiceAsk;
