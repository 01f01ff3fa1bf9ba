//! The operators' JSON API.

mod api;
mod condition;
mod explain;
mod failure;
mod object_json;
mod status;
mod submit;

pub use api::{AdminApi, PREFIX};
pub use condition::Condition;
pub use failure::Failure;
pub use submit::Submitted;
