//! Routing: a pure function from a snapshot and a request to a route.

mod chosen;
mod decide;
mod reason;
mod request;

pub use chosen::Route;
pub use decide::{decide, decide_service};
pub use reason::Reason;
pub use request::{Pin, RouteRequest};
