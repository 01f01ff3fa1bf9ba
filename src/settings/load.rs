//! Reads and checks the daemon's settings files.

use std::fmt;
use std::fs;
use std::path::Path;
use std::sync::Arc;

use crate::settings;
use crate::settings::locate;
use crate::units;

/// Reason why a settings file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read; holds its path and the I/O error.
    Unreadable(Arc<str>),
    /// The text cannot be parsed, or a field has a wrong type, name or value.
    Invalid {
        /// Path of the field, such as `role.entry.limits`; `.` where the error is not in a field.
        field: Arc<str>,
        /// Number of the line in the file, from 1.
        line: usize,
        /// Description of the error, without its position.
        reason: Arc<str>,
    },
    /// A field has a value out of range or one that contradicts another field.
    Inconsistent {
        /// Path of the field, such as `role.sidecar.cold_limit`.
        field: &'static str,
        /// Condition that the value must meet.
        reason: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(reason) => write!(f, "cannot read settings: {reason}"),
            Self::Invalid {
                field,
                line,
                reason,
            } => write!(f, "{field}, line {line}: {reason}"),
            Self::Inconsistent { field, reason } => write!(f, "{field}: {reason}"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads and checks a settings file. Fails where it cannot be read or is invalid.
pub fn load(path: &Path) -> Result<settings::Settings, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|err| SettingsError::Unreadable(format!("{}: {err}", path.display()).into()))?;
    parse(&text)
}

/// Parses and checks the text of a settings file (JSON).
pub fn parse(text: &str) -> Result<settings::Settings, SettingsError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let settings: settings::Settings =
        serde_path_to_error::deserialize(&mut json).map_err(|err| SettingsError::Invalid {
            field: err.path().to_string().into(),
            line: locate::line_of(text, err.path()).unwrap_or_else(|| err.inner().line()),
            reason: reason(err.inner()),
        })?;
    json.end().map_err(|err| SettingsError::Invalid {
        field: ".".into(),
        line: err.line(),
        reason: err.to_string().into(),
    })?;
    check(&settings)?;
    Ok(settings)
}

/// Returns the text of an error without its position, which may be past the field.
fn reason(err: &serde_json::Error) -> Arc<str> {
    let text = err.to_string();
    let position = format!(" at line {} column {}", err.line(), err.column());
    text.strip_suffix(&position).unwrap_or(&text).into()
}

fn check(settings: &settings::Settings) -> Result<(), SettingsError> {
    let inconsistent = |field, reason| Err(SettingsError::Inconsistent { field, reason });
    if settings.traffic_threads == 0 {
        return inconsistent("traffic_threads", "must be at least 1");
    }
    match &settings.role {
        settings::Role::Entry(entry) if entry.usage_flush_ms == units::Millis(0) => {
            inconsistent("role.entry.usage_flush_ms", "must be at least 1")
        }
        settings::Role::Entry(entry) if entry.limits.body_stall_ms == units::Millis(0) => {
            inconsistent("role.entry.limits.body_stall_ms", "must be at least 1")
        }
        settings::Role::Entry(entry) if entry.evidence_flush_ms == units::Millis(0) => {
            inconsistent("role.entry.evidence_flush_ms", "must be at least 1")
        }
        settings::Role::Entry(entry) if entry.parallel_loads == 0 => {
            inconsistent("role.entry.parallel_loads", "must be at least 1")
        }
        settings::Role::Sidecar(sidecar) if sidecar.cold_limit == 0 => {
            inconsistent("role.sidecar.cold_limit", "must be at least 1")
        }
        settings::Role::Sidecar(sidecar) if sidecar.max_concurrent < sidecar.cold_limit => {
            inconsistent("role.sidecar.max_concurrent", "must be at least cold_limit")
        }
        _ => Ok(()),
    }
}
