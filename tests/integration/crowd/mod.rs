//! Crowds of clients that keep to no limit: the process lives within its memory and
//! descriptors, and ordinary callers still get answers.

mod client;
mod direct;
mod entry;
mod eviction;
mod site;
mod time_limits;
