//! Idempotency keys.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use crate::ids;
use crate::units;

/// Age up to which a repeated key is recognised; less than the log's retention.
pub const WINDOW: Duration = Duration::from_hours(24);
/// Time by which the clock of a caller may be ahead. A key from further ahead
/// would still be in its window when its claim has left the log.
const MAX_AHEAD: Duration = Duration::from_hours(1);
/// Longest key.
const MAX_LEN: usize = 128;

/// The key by which a caller names a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    text: Arc<str>,
    made_at: Option<units::Millis>,
}

/// A header value that is not a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidKey;

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "expected a quoted string of 1 to {MAX_LEN} printable characters"
        )
    }
}

impl std::error::Error for InvalidKey {}

/// How a key stands to the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// Within the window.
    Current,
    /// Older than the window.
    Expired,
    /// Dated in the future.
    Ahead,
    /// Without a time.
    Undated,
}

impl Key {
    /// The id of the call with this key.
    #[must_use]
    pub fn call(&self, team: &ids::TeamName, service: &ids::ServiceName) -> ids::CallId {
        let parts = [
            team.as_str().as_bytes(),
            service.as_str().as_bytes(),
            self.text.as_bytes(),
        ];
        ids::CallId(ids::Digest::of_parts(&parts).head())
    }

    /// How the key stands to the window at `now`, in milliseconds since 1970.
    #[must_use]
    pub fn age(&self, now: units::Millis) -> KeyAge {
        let Some(made_at) = self.made_at else {
            return KeyAge::Undated;
        };
        if now.saturating_sub(made_at).duration() > WINDOW {
            KeyAge::Expired
        } else if made_at.saturating_sub(now).duration() > MAX_AHEAD {
            KeyAge::Ahead
        } else {
            KeyAge::Current
        }
    }
}

impl FromStr for Key {
    type Err = InvalidKey;

    /// Reads a structured-field string, in which `\"` and `\\` are escapes;
    /// also a value without quotes, as many clients send it.
    fn from_str(text: &str) -> Result<Self, InvalidKey> {
        let text = text.trim_matches([' ', '\t']);
        let key = match text.strip_prefix('"') {
            Some(rest) => unquote(rest)?,
            None if text.contains(['"', '\\']) => return Err(InvalidKey),
            None => text.to_owned(),
        };
        let printable = key.bytes().all(|b| (0x20..=0x7e).contains(&b));
        if !printable || !(1..=MAX_LEN).contains(&key.len()) {
            return Err(InvalidKey);
        }
        Ok(Self {
            made_at: time_of(&key),
            text: key.into(),
        })
    }
}

/// The content of a quoted string after its opening quote.
fn unquote(rest: &str) -> Result<String, InvalidKey> {
    let mut key = String::with_capacity(rest.len());
    let mut chars = rest.chars();
    loop {
        match chars.next().ok_or(InvalidKey)? {
            '"' => break,
            '\\' => match chars.next() {
                Some(escaped @ ('"' | '\\')) => key.push(escaped),
                _ => return Err(InvalidKey),
            },
            other => key.push(other),
        }
    }
    // Parameters may follow; the draft defines none.
    if chars.as_str().is_empty() || chars.as_str().starts_with(';') {
        Ok(key)
    } else {
        Err(InvalidKey)
    }
}

fn time_of(key: &str) -> Option<units::Millis> {
    let id = uuid::Uuid::try_parse(key)
        .ok()
        .filter(|id| id.get_version() == Some(uuid::Version::SortRand))?;
    // The first 48 bits of a version 7 UUID are milliseconds since 1970.
    u64::try_from(id.as_u128() >> 80).ok().map(units::Millis)
}
