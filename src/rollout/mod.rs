//! Rollouts of versions: by steps into profiles, and by time (canaries) between versions of
//! a service.

mod allotment;
mod canary;
mod division;
mod life;
mod progress;
mod step_decision;
mod tally;

pub use allotment::Allotment;
pub use canary::{AnyCanary, Canary, Completed, Observation, Probing, Ramping, RolledBack, Stage};
pub use division::divide;
pub use life::{Complete, Loading, Rollout, Stepping, Stopped};
pub use progress::Progress;
pub use step_decision::StepDecision;
pub use tally::{Comparison, Tally};
