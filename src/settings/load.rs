//! Reading and checking of settings files.

use std::fmt;
use std::fs;
use std::path::Path;
use std::sync::Arc;

use crate::settings;
use crate::settings::locate;
use crate::units;

/// A settings file that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable(Arc<str>),
    /// The text is not JSON or a field has a wrong type, name or value.
    Invalid {
        /// Path of the field, as `role.entry.limits`.
        field: Arc<str>,
        /// Line in the file, from 1.
        line: usize,
        /// What is wrong.
        reason: Arc<str>,
    },
    /// Fields that contradict each other.
    Inconsistent {
        /// Path of the field.
        field: &'static str,
        /// What is wrong.
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

/// Reads and checks a settings file.
pub fn load(path: &Path) -> Result<settings::Settings, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|err| SettingsError::Unreadable(format!("{}: {err}", path.display()).into()))?;
    parse(&text)
}

/// Checks the text of a settings file.
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

/// The text without the library's position, which may be past the field.
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
