//! Prefix cache of a stand-in engine.

use std::collections::VecDeque;

use serde_json::Value;

use crate::ids;

/// Beginnings of prompts, the most recently used last.
#[derive(Debug, Default)]
pub struct PrefixCache {
    entries: VecDeque<ids::Digest>,
}

impl PrefixCache {
    /// Whether the cache holds a beginning of the messages; stores them, and
    /// drops the least recently used entries above `limit`.
    pub fn use_prompt(
        &mut self,
        version: &ids::VersionName,
        messages: &Value,
        limit: usize,
    ) -> bool {
        let mut hit = false;
        for digest in beginnings(version, messages) {
            if let Some(at) = self.entries.iter().position(|entry| *entry == digest) {
                self.entries.remove(at);
                hit = true;
            }
            self.entries.push_back(digest);
        }
        let excess = self.entries.len().saturating_sub(limit);
        self.entries.drain(..excess);
        hit
    }
}

/// One digest for each message, over it and all before it.
fn beginnings(version: &ids::VersionName, messages: &Value) -> Vec<ids::Digest> {
    let mut text = String::new();
    let messages = messages.as_array().map(Vec::as_slice).unwrap_or_default();
    let digest = |message: &Value| {
        text.push_str(&message.to_string());
        ids::Digest::of_parts(&[version.as_str().as_bytes(), text.as_bytes()])
    };
    messages.iter().map(digest).collect()
}
