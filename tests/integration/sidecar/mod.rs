//! What the process beside an endpoint tells an entry.

mod beside;
mod engine;
mod service;
