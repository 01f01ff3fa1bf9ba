//! Key that authenticates session tokens.

use std::fmt;

use ring::hmac;

/// Minimum length of a key: that of the SHA-256 digest.
const MIN_KEY_BYTES: usize = 32;

/// Key for session tokens, the same on all entries. `Debug` does not reveal it.
#[derive(Clone)]
pub struct SessionKey(hmac::Key);

/// Error for a key that is shorter than the minimum of 32 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidKey;

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the session key needs at least {MIN_KEY_BYTES} bytes")
    }
}

impl std::error::Error for InvalidKey {}

impl fmt::Debug for SessionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SessionKey")
    }
}

impl SessionKey {
    /// Creates a key from `bytes`. Fails if there are fewer than 32.
    pub fn new(bytes: &[u8]) -> Result<Self, InvalidKey> {
        if bytes.len() < MIN_KEY_BYTES {
            return Err(InvalidKey);
        }
        Ok(Self(hmac::Key::new(hmac::HMAC_SHA256, bytes)))
    }

    pub(super) fn sign(&self, content: &[u8]) -> hmac::Tag {
        hmac::sign(&self.0, content)
    }

    /// Checks `tag` against `content` in constant time.
    pub(super) fn verify_tag(&self, content: &[u8], tag: &[u8]) -> bool {
        hmac::verify(&self.0, content, tag).is_ok()
    }
}
