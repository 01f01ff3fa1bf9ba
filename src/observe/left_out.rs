//! Records that a read leaves out, for one line of the log.

use std::fmt;

use hyper::body::Bytes;

/// Maximum number of records that are named.
const MAX_NAMED: usize = 5;
/// Maximum length of a key or a reason, in characters.
const MAX_CHARS: usize = 80;

/// Records of one read that cannot be used. Displays the first ones, with reasons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeftOut {
    named: Vec<String>,
    count: usize,
}

impl LeftOut {
    /// Adds the record with this key.
    pub fn push(&mut self, key: &str, reason: impl fmt::Display) {
        self.count += 1;
        if self.named.len() < MAX_NAMED {
            let key: String = key.chars().take(MAX_CHARS).collect();
            let reason: String = reason.to_string().chars().take(MAX_CHARS).collect();
            self.named.push(format!("{key:?} ({reason})"));
        }
    }

    /// Adds the record with this key, of which the topic has no kind, unless it was removed.
    pub fn push_unknown(&mut self, key: &str, value: Option<&Bytes>) {
        if value.is_some() {
            self.push(key, "unknown kind");
        }
    }

    /// Returns the decoded record, or adds the one with this key for the reason of the failure.
    pub fn usable<T, E: fmt::Display>(&mut self, key: &str, decoded: Result<T, E>) -> Option<T> {
        decoded.inspect_err(|err| self.push(key, err)).ok()
    }

    /// Adds records whose keys are not known.
    pub const fn push_unnamed(&mut self, count: usize) {
        self.count += count;
    }

    /// Whether no record is left out.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Logs the records of a topic, unless there are none.
    pub fn log(&self, topic: &str) {
        if !self.is_empty() {
            log::warn!(target: "store", source = topic, count = self.count, names:% = self;
                "records left out, they cannot be used");
        }
    }
}

impl fmt::Display for LeftOut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.named.join(", "))
    }
}
