//! Roll-outs of versions into profiles.

mod allotment;
mod division;
mod judgement;
mod life;
mod progress;

pub use allotment::Allotment;
pub use division::divide;
pub use judgement::Judgement;
pub use life::{Complete, Loading, Rollout, Stepping, Stopped};
pub use progress::Progress;
