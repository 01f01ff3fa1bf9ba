//! The key that authenticates session tokens.

use std::fmt;

use ring::hmac;

/// Least length: that of the digest.
const MIN_KEY_LEN: usize = 32;

/// The key; the same on all entries. Its `Debug` does not show it.
#[derive(Clone)]
pub struct SessionKey(hmac::Key);

/// A key that is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidKey;

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the session key needs at least {MIN_KEY_LEN} bytes")
    }
}

impl std::error::Error for InvalidKey {}

impl fmt::Debug for SessionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SessionKey")
    }
}

impl SessionKey {
    /// The key with these bytes.
    pub fn new(bytes: &[u8]) -> Result<Self, InvalidKey> {
        if bytes.len() < MIN_KEY_LEN {
            return Err(InvalidKey);
        }
        Ok(Self(hmac::Key::new(hmac::HMAC_SHA256, bytes)))
    }

    pub(super) fn sign(&self, content: &[u8]) -> hmac::Tag {
        hmac::sign(&self.0, content)
    }

    /// Compares in constant time.
    pub(super) fn is_signed(&self, content: &[u8], tag: &[u8]) -> bool {
        hmac::verify(&self.0, content, tag).is_ok()
    }
}
