//! Session tokens: encoding, authentication and decoding.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use crate::ids;
use crate::session;
use crate::units;

/// First byte of a token; changes with the layout of the bytes that follow.
const LAYOUT_VERSION: u8 = 1;
/// Length of the HMAC-SHA256 tag at the end of a token.
const TAG_BYTES: usize = 32;

/// State of a session, as carried by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Team to which the session belongs.
    pub team: ids::TeamName,
    /// Profile for which the session was opened.
    pub profile: ids::ProfileName,
    /// Version that serves the session.
    pub version: ids::VersionName,
    /// VM that served the last request of the session.
    pub vm: ids::VmName,
    /// Time of issue in milliseconds since the Unix epoch.
    pub made_at: units::Millis,
}

/// Error for text that is not a valid token sealed with the given key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidToken;

impl fmt::Display for InvalidToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the session token is not valid")
    }
}

impl std::error::Error for InvalidToken {}

impl Token {
    /// Encodes the token as URL-safe base64 text, authenticated with `key`.
    #[must_use]
    pub fn seal(&self, key: &session::SessionKey) -> String {
        let mut bytes = vec![LAYOUT_VERSION];
        for name in [
            self.team.as_str(),
            self.profile.as_str(),
            self.version.as_str(),
            self.vm.as_str(),
        ] {
            // The length fits into one byte: names have at most 64 bytes.
            bytes.push(u8::try_from(name.len()).unwrap_or(u8::MAX));
            bytes.extend_from_slice(name.as_bytes());
        }
        bytes.extend_from_slice(&self.made_at.0.to_be_bytes());
        let tag = key.sign(&bytes);
        bytes.extend_from_slice(tag.as_ref());
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a token that was sealed with `key`. Fails if the text was forged or
    /// altered.
    pub fn open(text: &str, key: &session::SessionKey) -> Result<Self, InvalidToken> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| InvalidToken)?;
        let split = bytes.len().checked_sub(TAG_BYTES).ok_or(InvalidToken)?;
        let (content, tag) = bytes.split_at(split);
        if !key.verify_tag(content, tag) {
            return Err(InvalidToken);
        }
        Self::decode(content).ok_or(InvalidToken)
    }

    fn decode(content: &[u8]) -> Option<Self> {
        let rest = &mut content.strip_prefix(&[LAYOUT_VERSION])?;
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
