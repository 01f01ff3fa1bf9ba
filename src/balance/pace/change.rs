//! Changes of a pace, for the log.

use std::time::Duration;

use crate::balance::pace;

/// Event that changed a pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The endpoint is new, has restarted, or returns from an evacuation.
    Started,
    /// It is cold.
    Cold,
    /// It has asked for a pause.
    Asked,
    /// Its pause or suspension is over.
    Due,
    /// Answers began in the expected time.
    InTime,
    /// An answer began late.
    Slowed,
    /// It refused a request.
    Refused,
    /// A request failed.
    Failed,
    /// It sent nothing in time, or could not be reached.
    Silent,
    /// It leaves.
    Left,
}

/// Change of a pace, with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Stage before.
    pub from: pace::Stage,
    /// Stage after; the same where only the limit fell or stopped rising.
    pub to: pace::Stage,
    /// Event that changed it.
    pub cause: Cause,
    /// Limit after the change; `None` in a stage without one.
    pub limit: Option<pace::Limit>,
    /// Wait that is expected of the endpoint; `None` if it is not known.
    pub usual: Option<Duration>,
    /// Wait before the answer that caused the change; `None` if no answer did.
    pub wait: Option<Duration>,
    /// Failures in sequence that lengthen the time until the endpoint is tried again.
    pub strikes: u32,
    /// Slots of the endpoint and share of this entry.
    pub bounds: pace::Bounds,
}
