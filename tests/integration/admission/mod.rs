//! Admission decisions beside an endpoint.

use std::time::Duration;

use quetzalworks::admission::Limits;

mod calls;
mod controller;
mod gate;
mod orders;
mod queue;
mod usage;

pub const INTERVAL: Duration = Duration::from_secs(1);
pub const LIMITS: Limits = Limits {
    cold: 2,
    max: 7,
    ramp_interval: INTERVAL,
    ramp_answers: 1,
};
