//! Why the demo cannot run.

use std::fmt;
use std::time::Duration;

use crate::daemon;

/// Time until the first answer.
pub const START_LIMIT: Duration = Duration::from_secs(30);

/// Why the demo cannot run.
#[derive(Debug)]
pub enum DemoError {
    /// A process of the system cannot start.
    Start(daemon::StartError),
    /// A stand-in, a file or a name cannot be had.
    Setup(String),
    /// No request succeeded in time.
    NotReady,
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(err) => err.fmt(f),
            Self::Setup(reason) => f.write_str(reason),
            Self::NotReady => write!(f, "no request succeeded within {START_LIMIT:?}"),
        }
    }
}

impl std::error::Error for DemoError {}

impl From<daemon::StartError> for DemoError {
    fn from(err: daemon::StartError) -> Self {
        Self::Start(err)
    }
}

/// An error of the set-up, as text.
pub fn setup(err: impl fmt::Display) -> DemoError {
    DemoError::Setup(err.to_string())
}
