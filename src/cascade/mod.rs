//! Model cascade: the smallest model answers first, a larger one when that
//! answer has too little confidence.

mod models;
mod standby;

pub use models::{Cascade, Decision, Forecast, Limit};
pub use standby::{may_end_in_time, standby_time};
