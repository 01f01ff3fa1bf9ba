//! The operators' command-line tool, a client of the operators' API.

mod change;
mod client;
mod context;
mod exit;
mod explain_log;
mod failure;
mod flags;
mod local;
mod show;
mod start;
mod table;
mod target;
mod watch;

pub use client::Client;
pub use context::Context;
pub use exit::Exit;
pub use failure::Failure;
pub use start::main;
pub use table::Table;
