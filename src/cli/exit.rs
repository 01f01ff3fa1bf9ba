//! Exit codes of the tool.

use std::process::ExitCode;

/// How the tool ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Ok = 0,
    /// Failed; nothing was changed.
    Failed = 1,
    /// The command line or a settings file cannot be used.
    Usage = 2,
    /// The object has changed meanwhile.
    Conflict = 3,
    /// The change was not accepted, since the log or the server is unavailable.
    NotAccepted = 4,
    /// Whether the change was accepted is not known.
    Unknown = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
