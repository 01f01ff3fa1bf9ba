//! Reads of the store that entries share.

mod course;
mod election;
mod evidence;
mod relay;
mod site;
