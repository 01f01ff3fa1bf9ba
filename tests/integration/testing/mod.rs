//! Processes, stand-ins and a client for the tests.

#![allow(dead_code)]

pub mod cluster;
pub mod http;
pub mod place;
pub mod raw;
pub mod wait;
