//! Detection of requests that crash the endpoints executing them.

mod answered_parts;
mod doubts;
mod quarantine;
mod suspect;
mod suspects;
mod visit;

pub use answered_parts::AnsweredParts;
pub use doubts::Doubts;
pub use quarantine::{Quarantine, Suspicion};
pub use suspect::Suspect;
pub use suspects::{CrashReport, Subject, Suspects};
pub use visit::{VisitHandle, VisitStage};
