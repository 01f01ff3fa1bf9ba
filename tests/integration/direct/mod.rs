//! The direct role: an entry that calls endpoints without sidecars.

mod balance;
mod calls;
mod canary;
mod cascade;
mod decode;
mod endless;
pub mod endpoint;
mod endpoints;
mod events;
mod explain;
mod failures;
mod idle;
mod keys;
mod operator;
mod pool;
mod regions;
mod returns;
mod rollouts;
pub mod site;
mod smuggling;
mod stop;
mod store;
mod streams;
mod suspects;
mod tally;
pub mod world;
