//! Classes of requests whose quality is estimated together.

use std::fmt;
use std::str::FromStr;

/// A class of requests: task and size. Written as a decimal number.
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

/// A text that is not the number of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidClass;

impl fmt::Display for InvalidClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid request class: expected a number below 65536")
    }
}

impl std::error::Error for InvalidClass {}

/// Classes by task; bounds the table of estimates at 16 tasks × 4 × 4 sizes.
const TASKS: u64 = 16;
/// Prompt sizes in bytes at which the next class begins.
const PROMPT_STEPS: [usize; 3] = [512, 4_096, 32_768];
/// Requested tokens at which the next class begins.
const OUTPUT_STEPS: [u64; 3] = [64, 256, 1_024];

impl RequestClass {
    /// The class of a request with this task label, prompt size in bytes and requested tokens.
    #[must_use]
    pub fn of(task: Option<&str>, prompt_bytes: usize, max_tokens: u64) -> Self {
        let task = task.map_or(0, |task| 1 + hash(task) % (TASKS - 1));
        let prompt = PROMPT_STEPS
            .iter()
            .filter(|step| prompt_bytes >= **step)
            .count() as u64;
        let output = OUTPUT_STEPS
            .iter()
            .filter(|step| max_tokens >= **step)
            .count() as u64;
        Self(u16::try_from((task * 4 + prompt) * 4 + output).unwrap_or(u16::MAX))
    }
}

/// FNV-1a: the same in every process, unlike the standard library's hasher.
fn hash(text: &str) -> u64 {
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
