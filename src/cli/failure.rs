//! Errors of the commands and their exit codes.

use std::fmt;
use std::sync::Arc;

use serde_json::{Value, json};

use crate::cli;
use crate::http;

/// Reason why a command failed, which determines the exit code.
#[derive(Clone, Debug, PartialEq)]
pub enum Failure {
    /// The command line, or a file or setting that it names, is invalid.
    Usage(Arc<str>),
    /// The server refused the request; holds the `error` object of the response.
    Refused(Value),
    /// A read from the server failed; nothing was changed.
    Read(http::HttpError),
    /// A change got no response; it was made or not, depending on the error.
    Change(http::HttpError),
    /// Any other failure, such as an object that does not exist.
    Other(Arc<str>),
}

impl Failure {
    /// Creates a failure of the command line or of a file that it names.
    pub fn usage(reason: impl fmt::Display) -> Self {
        Self::Usage(reason.to_string().into())
    }

    /// Returns the exit code for this failure.
    #[must_use]
    pub fn exit(&self) -> cli::Exit {
        match self {
            Self::Usage(_) => cli::Exit::Usage,
            Self::Refused(error) => match error["number"].as_u64() {
                Some(3002) => cli::Exit::Conflict,
                Some(3003) => cli::Exit::NotAccepted,
                Some(3004) => cli::Exit::Unknown,
                _ => cli::Exit::Failed,
            },
            Self::Change(err) if err.is_not_sent() => cli::Exit::NotAccepted,
            Self::Change(_) => cli::Exit::Unknown,
            Self::Read(_) | Self::Other(_) => cli::Exit::Failed,
        }
    }

    /// Returns the failure as a JSON object with the member `error`.
    #[must_use]
    pub fn json(&self) -> Value {
        match self {
            Self::Refused(error) => json!({ "error": error }),
            other => json!({ "error": { "message": other.to_string() } }),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(reason) | Self::Other(reason) => f.write_str(reason),
            Self::Refused(error) => {
                let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
                write!(
                    f,
                    "{} {}: {}",
                    error["number"],
                    text("code"),
                    text("message")
                )
            }
            Self::Read(err) => write!(f, "cannot read from the server: {err}"),
            Self::Change(err) if err.is_not_sent() => write!(f, "not accepted: {err}"),
            Self::Change(err) => write!(
                f,
                "outcome unknown: {err}; read the object again before repeating the change"
            ),
        }
    }
}

impl std::error::Error for Failure {}
