//! Idempotency keys of callers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use crate::ids;
use crate::units;

/// Age up to which a reused key is recognised; less than the log's retention.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_hours(24);
/// Time by which a caller's clock may be ahead. A key dated further ahead would still be
/// within the window after its claim has left the log.
const MAX_CLOCK_AHEAD: Duration = Duration::from_hours(1);
/// Maximum length of a key.
const MAX_KEY_LEN_BYTES: usize = 128;

/// Idempotency key by which a caller identifies a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    text: Arc<str>,
    created_at: Option<units::Millis>,
}

/// Error for a header value that is not a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidKey;

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "expected a quoted string of 1 to {MAX_KEY_LEN_BYTES} printable characters"
        )
    }
}

impl std::error::Error for InvalidKey {}

/// Age of a key relative to the deduplication window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// Dated within the window, or ahead by no more than the tolerance for clocks.
    Current,
    /// Older than the window; its claim may have left the log.
    Expired,
    /// Dated further in the future than the tolerance for clocks.
    Ahead,
    /// Not a version 7 UUID, so the key carries no time.
    Undated,
}

impl Key {
    /// Returns the id of the call that this key identifies for a team and service.
    #[must_use]
    pub fn call(&self, team: &ids::TeamName, service: &ids::ServiceName) -> ids::CallId {
        let parts = [
            team.as_str().as_bytes(),
            service.as_str().as_bytes(),
            self.text.as_bytes(),
        ];
        ids::CallId(ids::Digest::of_parts(&parts).first_u128())
    }

    /// Returns the age of the key at `now`, in milliseconds since 1970.
    #[must_use]
    pub fn age(&self, now: units::Millis) -> KeyAge {
        let Some(created_at) = self.created_at else {
            return KeyAge::Undated;
        };
        if now.saturating_sub(created_at).duration() > DEDUPLICATION_WINDOW {
            KeyAge::Expired
        } else if created_at.saturating_sub(now).duration() > MAX_CLOCK_AHEAD {
            KeyAge::Ahead
        } else {
            KeyAge::Current
        }
    }
}

impl FromStr for Key {
    type Err = InvalidKey;

    /// Parses a structured-field string, in which `\"` and `\\` are escapes. A value
    /// without quotes is accepted too, because many clients send one.
    fn from_str(text: &str) -> Result<Self, InvalidKey> {
        let text = text.trim_matches([' ', '\t']);
        let key = match text.strip_prefix('"') {
            Some(rest) => unquote(rest)?,
            None if text.contains(['"', '\\']) => return Err(InvalidKey),
            None => text.to_owned(),
        };
        let printable = key.bytes().all(|b| (0x20..=0x7e).contains(&b));
        if !printable || !(1..=MAX_KEY_LEN_BYTES).contains(&key.len()) {
            return Err(InvalidKey);
        }
        Ok(Self {
            created_at: uuid_time(&key),
            text: key.into(),
        })
    }
}

/// Returns the content of a quoted string; `rest` is the text after its opening quote.
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
    // Structured fields allow parameters after the string; the draft defines none, so they
    // are ignored.
    if chars.as_str().is_empty() || chars.as_str().starts_with(';') {
        Ok(key)
    } else {
        Err(InvalidKey)
    }
}

fn uuid_time(key: &str) -> Option<units::Millis> {
    let id = uuid::Uuid::try_parse(key)
        .ok()
        .filter(|id| id.get_version() == Some(uuid::Version::SortRand))?;
    // The first 48 bits of a version 7 UUID are milliseconds since 1970.
    u64::try_from(id.as_u128() >> 80).ok().map(units::Millis)
}
