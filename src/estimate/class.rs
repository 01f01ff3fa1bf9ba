//! Classes of requests whose quality is estimated together.

use std::fmt;
use std::str::FromStr;

/// Class of requests by task and size, displayed as a decimal number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct RequestClass(pub u16);

/// Error for a text that is not a decimal number below 65536.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidClass;

impl fmt::Display for InvalidClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid request class: expected a number below 65536")
    }
}

impl std::error::Error for InvalidClass {}

/// Number of task classes; bounds the table of estimates at 16 tasks × 4 prompt sizes × 4
/// output sizes.
const TASK_CLASSES: u64 = 16;
/// Prompt sizes in bytes at which the next size class begins.
const PROMPT_CLASS_BOUNDS_BYTES: [usize; 3] = [512, 4_096, 32_768];
/// Requested output tokens at which the next size class begins.
const OUTPUT_CLASS_BOUNDS_TOKENS: [u64; 3] = [64, 256, 1_024];

impl RequestClass {
    /// Returns the class for a task label, a prompt size in bytes and a number of requested
    /// tokens.
    #[must_use]
    pub fn of(task: Option<&str>, prompt_bytes: usize, max_tokens: u64) -> Self {
        let task = task.map_or(0, |task| 1 + fnv1a(task) % (TASK_CLASSES - 1));
        let prompt = PROMPT_CLASS_BOUNDS_BYTES
            .iter()
            .filter(|bound| prompt_bytes >= **bound)
            .count() as u64;
        let output = OUTPUT_CLASS_BOUNDS_TOKENS
            .iter()
            .filter(|bound| max_tokens >= **bound)
            .count() as u64;
        Self(u16::try_from((task * 4 + prompt) * 4 + output).unwrap_or(u16::MAX))
    }
}

/// Hashes with FNV-1a, which is the same in every process, unlike the standard library's
/// hasher.
fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |acc, b| {
        (acc ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl fmt::Display for RequestClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for RequestClass {
    type Err = InvalidClass;

    fn from_str(text: &str) -> Result<Self, InvalidClass> {
        text.parse().map(Self).map_err(|_| InvalidClass)
    }
}
