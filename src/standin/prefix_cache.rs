//! Prompt prefix cache of a stand-in engine, with LRU eviction.

use std::collections::VecDeque;

use serde_json::Value;

use crate::ids;

/// Digests of prompt prefixes, least recently used first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    entries: VecDeque<ids::Digest>,
}

impl PrefixCache {
    /// Inserts all prefixes of the messages and evicts the least recently used
    /// entries above `limit`. Returns whether any of the prefixes was cached.
    pub fn lookup_and_insert(
        &mut self,
        version: &ids::VersionName,
        messages: &Value,
        limit: usize,
    ) -> bool {
        let mut hit = false;
        for digest in prefix_digests(version, messages) {
            if let Some(index) = self.entries.iter().position(|entry| *entry == digest) {
                self.entries.remove(index);
                hit = true;
            }
            self.entries.push_back(digest);
        }
        let excess = self.entries.len().saturating_sub(limit);
        self.entries.drain(..excess);
        hit
    }
}

/// Returns a digest per message, over that message and all before it.
fn prefix_digests(version: &ids::VersionName, messages: &Value) -> Vec<ids::Digest> {
    let mut text = String::new();
    let messages = messages.as_array().map(Vec::as_slice).unwrap_or_default();
    let digest = |message: &Value| {
        text.push_str(&message.to_string());
        ids::Digest::of_parts(&[version.as_str().as_bytes(), text.as_bytes()])
    };
    messages.iter().map(digest).collect()
}
