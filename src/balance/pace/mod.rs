//! Pace of an endpoint that is not at its full load: how many requests of this entry it
//! gets while it starts, returns or recovers.

mod admission;
mod any_pace;
mod bounds;
mod change;
mod life_cycle;
mod limit;
mod pacer;
mod permits;
mod usual_wait;

pub use admission::{Admission, Hold};
pub use any_pace::{AnyPace, Stage};
pub use bounds::{Bounds, Observed};
pub use change::{Cause, Change};
pub use life_cycle::{Answer, Closed, Full, Leaving, Pace, Probing, Rising, Trouble};
pub use limit::Limit;
pub use pacer::{MAX_PAUSE, Pacer, Wish};
pub use permits::{Permits, SharedRates};
pub use usual_wait::usual_wait;
