//! The session token.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use crate::ids;
use crate::session;
use crate::units;

/// First byte of a token; another layout gets another number.
const LAYOUT: u8 = 1;
/// Bytes of the authentication tag at the end.
const TAG_LEN: usize = 32;

/// State of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// The team.
    pub team: ids::TeamName,
    /// The profile.
    pub profile: ids::ProfileName,
    /// The version.
    pub version: ids::VersionName,
    /// The VM that served last.
    pub vm: ids::VmName,
    /// Milliseconds since 1970 at which the token was made.
    pub made_at: units::Millis,
}

/// A text that is not a token under the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidToken;

impl fmt::Display for InvalidToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the session token is not valid")
    }
}

impl std::error::Error for InvalidToken {}

impl Token {
    /// The token as text, authenticated by `key`.
    #[must_use]
    pub fn seal(&self, key: &session::SessionKey) -> String {
        let mut bytes = vec![LAYOUT];
        for name in [
            self.team.as_str(),
            self.profile.as_str(),
            self.version.as_str(),
            self.vm.as_str(),
        ] {
            // Names have at most 64 bytes.
            bytes.push(u8::try_from(name.len()).unwrap_or(u8::MAX));
            bytes.extend_from_slice(name.as_bytes());
        }
        bytes.extend_from_slice(&self.made_at.0.to_be_bytes());
        let tag = key.sign(&bytes);
        bytes.extend_from_slice(tag.as_ref());
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a token that was sealed with `key`.
    pub fn open(text: &str, key: &session::SessionKey) -> Result<Self, InvalidToken> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| InvalidToken)?;
        let split = bytes.len().checked_sub(TAG_LEN).ok_or(InvalidToken)?;
        let (content, tag) = bytes.split_at(split);
        if !key.is_signed(content, tag) {
            return Err(InvalidToken);
        }
        Self::read(content).ok_or(InvalidToken)
    }

    fn read(content: &[u8]) -> Option<Self> {
        let rest = &mut content.strip_prefix(&[LAYOUT])?;
        let token = Self {
            team: take_name(rest)?,
            profile: take_name(rest)?,
            version: take_name(rest)?,
            vm: take_name(rest)?,
            made_at: units::Millis(u64::from_be_bytes((*rest).try_into().ok()?)),
        };
        Some(token)
    }
}

fn take_name<T: FromStr>(rest: &mut &[u8]) -> Option<T> {
    let (len, tail) = rest.split_first()?;
    let (name, tail) = tail.split_at_checked(usize::from(*len))?;
    *rest = tail;
    std::str::from_utf8(name).ok()?.parse().ok()
}
