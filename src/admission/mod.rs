//! Exact limits beside an endpoint.

mod gate;

pub use gate::Gate;
