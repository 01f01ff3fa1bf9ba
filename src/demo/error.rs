//! Errors of the demo.

use std::fmt;
use std::time::Duration;

use crate::daemon;

/// Maximum time from the start of the processes to the first successful request.
pub const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason why the demo could not start.
#[derive(Debug)]
pub enum DemoError {
    /// A process of the system could not start.
    Start(daemon::StartError),
    /// A stand-in could not listen, a file could not be written, or a name was invalid.
    Setup(String),
    /// No request succeeded within `START_TIMEOUT`.
    NotReady,
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(err) => err.fmt(f),
            Self::Setup(reason) => f.write_str(reason),
            Self::NotReady => write!(f, "no request succeeded within {START_TIMEOUT:?}"),
        }
    }
}

impl std::error::Error for DemoError {}

impl From<daemon::StartError> for DemoError {
    fn from(err: daemon::StartError) -> Self {
        Self::Start(err)
    }
}

/// Converts an error during set-up to [`DemoError::Setup`].
pub fn setup_error(err: impl fmt::Display) -> DemoError {
    DemoError::Setup(err.to_string())
}
