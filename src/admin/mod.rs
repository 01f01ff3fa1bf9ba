//! The operators' JSON API.

mod api;

pub use api::{AdminApi, PREFIX};
