//! Deterministic text of a stand-in engine's answers.

use serde_json::Value;

use crate::ids;

/// Returns the text of token `i` of the answer of `version` to `messages`.
///
/// It depends only on the arguments, so that a test can distinguish a complete
/// answer from one with a gap, a duplicate token or another request's text.
#[must_use]
pub fn answer_token(version: &str, messages: &Value, i: u64) -> String {
    token_text(&token_prefix(version, messages), i)
}

/// Returns the complete answer of `tokens` tokens.
#[must_use]
pub fn answer_text(version: &str, messages: &Value, tokens: u64) -> String {
    let token_prefix = token_prefix(version, messages);
    (0..tokens).map(|i| token_text(&token_prefix, i)).collect()
}

/// Returns the prefix that all tokens of one answer share: 8 hex digits of a digest.
pub(super) fn token_prefix(version: &str, messages: &Value) -> String {
    let digest = ids::Digest::of_parts(&[version.as_bytes(), messages.to_string().as_bytes()]);
    format!("{:08x}", digest.first_u128() >> 96)
}

/// Returns the text of token `i` of the answer with this prefix.
pub(super) fn token_text(token_prefix: &str, i: u64) -> String {
    format!("{token_prefix}.{i} ")
}
