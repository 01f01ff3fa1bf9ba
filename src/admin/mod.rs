//! The operators' HTTP API, with JSON bodies, that an entry serves.

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
pub use submit::AppliedChange;
