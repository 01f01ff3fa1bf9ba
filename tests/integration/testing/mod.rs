//! Test harness: clusters of real processes among stand-ins, clients and load.

#![allow(dead_code)]

pub mod cluster;
pub mod http;
pub mod isolation;
pub mod ledger;
pub mod load;
pub mod operator;
pub mod process;
pub mod raw;
pub mod scripted;
pub mod spec;
pub mod traffic;
pub mod wait;
