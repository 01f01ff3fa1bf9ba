//! Requests that wait for a place at an endpoint, or are refused.

mod crowd;
mod last_resort;
mod order;
mod passing;
mod replay;
mod waiters;
mod wakes;
