//! Rollouts of versions: by steps into profiles, and by time (canaries) between versions of
//! a service.

mod allotment;
mod canary;
mod comparison;
mod division;
mod excess;
mod life;
mod progress;
mod step_decision;
mod tally;
mod time_histogram;

pub use allotment::Allotment;
pub use canary::{AnyCanary, Canary, Completed, Observation, Probing, Ramping, RolledBack, Stage};
pub use comparison::{Comparison, Verdict};
pub use division::divide;
pub use excess::{Counts, Nats, Stratum};
pub use life::{Complete, Loading, Rollout, Stepping, Stopped};
pub use progress::Progress;
pub use step_decision::StepDecision;
pub use tally::{AttemptOutcome, Tally};
pub use time_histogram::TimeHistogram;
