//! The text of a stand-in engine's answers.

use serde_json::Value;

use crate::ids;

/// The text of token `i` of the answer of `version` to these messages. It is
/// a function of its arguments, so that a test can tell a whole answer from
/// one with a gap, a repeat or another request's text.
#[must_use]
pub fn answer_token(version: &str, messages: &Value, i: u64) -> String {
    token(&stem(version, messages), i)
}

/// The whole answer of `tokens` tokens.
#[must_use]
pub fn answer_text(version: &str, messages: &Value, tokens: u64) -> String {
    let stem = stem(version, messages);
    (0..tokens).map(|i| token(&stem, i)).collect()
}

/// The part that all tokens of an answer share.
pub(super) fn stem(version: &str, messages: &Value) -> String {
    let digest = ids::Digest::of_parts(&[version.as_bytes(), messages.to_string().as_bytes()]);
    format!("{:08x}", digest.head() >> 96)
}

pub(super) fn token(stem: &str, i: u64) -> String {
    format!("{stem}.{i} ")
}
