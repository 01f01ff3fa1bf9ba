//! Routing: a pure function from a snapshot and a request to a route.

mod cascade;
mod chosen;
mod decide;
mod endpoints;
mod reason;
mod rendezvous;
mod request;
mod retry_budget;
mod team_load;
mod versions;

pub use cascade::next_by_cost;
pub use chosen::Route;
pub use decide::{decide, decide_service};
pub use reason::Reason;
pub(crate) use rendezvous::mix;
pub use rendezvous::{rank, rank_of};
pub use request::{Pin, RouteRequest};
pub use retry_budget::RetryBudget;
pub use team_load::{TeamLoad, TeamPermit};
