//! Exit codes of the command-line tool.

use std::process::ExitCode;

/// Exit code of the tool, on which scripts rely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded; a change that it made is in force.
    Ok = 0,
    /// The command failed; nothing was changed.
    Failed = 1,
    /// The command line or a file that it names is invalid.
    Usage = 2,
    /// The object has changed since the base revision of the change.
    Conflict = 3,
    /// The change was not made, since the log or the server is unavailable.
    NotAccepted = 4,
    /// The outcome of the change is unknown; it may have been made.
    Unknown = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
