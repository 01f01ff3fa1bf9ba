//! Reads of the store that entries share.

mod course;
mod election;
mod relay;
mod site;
