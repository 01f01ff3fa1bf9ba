//! A deployment and its traffic.

use std::fs;
use std::path::Path;
use std::time::Duration;

use fastrand::Rng;

use crate::bench;
use crate::ids;
use crate::units;

/// A deployment and its traffic, read from a JSON file.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Name of the deployment.
    pub name: String,
    /// Failure domains.
    pub domains: usize,
    /// Entries, spread over the domains.
    pub entries: usize,
    /// Model engines, spread over the domains.
    pub engines: usize,
    /// Whether each engine is a process of its own.
    #[serde(default)]
    pub engine_processes: bool,
    /// Endpoints of the booking service, spread over the domains.
    pub booking_servers: usize,
    /// One-way delay between failure domains, in microseconds.
    pub domain_delay_us: u64,
    /// One-way delay to clients, in microseconds.
    pub client_delay_us: u64,
    /// Share of each team in the requests.
    pub team_shares: Vec<f64>,
    /// Models, with the share of the engines that serve each.
    pub models: Vec<Model>,
    /// Kinds of requests with their shares.
    pub requests: Vec<RequestMix>,
}

/// A model of the deployment.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Share of the engines.
    pub share: f64,
    /// Cost of 1,000 prompt tokens, in millionths.
    pub cost: u64,
    /// Quality of its answers.
    pub quality: f64,
    /// Time to the first token.
    pub first_token_ms: units::Millis,
    /// Time between tokens.
    pub between_tokens_ms: units::Millis,
}

/// A kind of request with its share.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestMix {
    /// The kind.
    pub kind: Kind,
    /// Share of the requests.
    pub share: f64,
    /// Time in which an answer is worth something.
    pub deadline_ms: units::Millis,
}

/// What a request asks for.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Kind {
    /// An answer of a model.
    Chat {
        /// The profile.
        profile: ids::ProfileName,
        /// Quality target of the profile.
        quality_target: units::Quality,
        /// Whether the answer is streamed.
        stream: bool,
        /// Tokens of the answer.
        max_tokens: u64,
    },
    /// A call of the booking service that must not be repeated.
    Call {
        /// Path below the service.
        path: String,
    },
    /// A call of the booking service that may be repeated.
    LookUp {
        /// Path below the service.
        path: String,
    },
}

impl Mix {
    /// Reads a file.
    pub fn open(path: &Path) -> Result<Self, bench::BenchError> {
        let text = fs::read_to_string(path)?;
        serde_json::from_str(&text).map_err(|err| format!("{}: {err}", path.display()).into())
    }

    /// The model that engine `i` serves.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn model_of(&self, i: usize) -> usize {
        let place = (i as f64 + 0.5) / self.engines as f64;
        pick(self.models.iter().map(|model| model.share), place)
    }

    /// Draws a team by its share.
    pub fn draw_team(&self, rng: &mut Rng) -> usize {
        let total: f64 = self.team_shares.iter().sum();
        pick(self.team_shares.iter().copied(), rng.f64() * total)
    }

    /// Draws a kind of request by its share.
    pub fn draw_request(&self, rng: &mut Rng) -> usize {
        let shares = self.requests.iter().map(|request| request.share);
        let total: f64 = shares.clone().sum();
        pick(shares, rng.f64() * total)
    }

    /// One-way delay to clients.
    #[must_use]
    pub const fn client_delay(&self) -> Duration {
        Duration::from_micros(self.client_delay_us)
    }
}

/// The place in which `drawn` falls among consecutive shares.
fn pick(shares: impl Iterator<Item = f64>, drawn: f64) -> usize {
    let mut sum = 0.0;
    let mut last = 0;
    for (i, share) in shares.enumerate() {
        sum += share;
        last = i;
        if drawn < sum {
            break;
        }
    }
    last
}
