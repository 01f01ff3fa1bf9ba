//! A deployment and its traffic.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;

use fastrand::Rng;

use crate::bench;
use crate::ids;
use crate::standin;
use crate::units;

/// Concurrent requests of an engine where the mix states none.
const DEFAULT_ENGINE_CONCURRENT: u32 = 64;

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
    /// Concurrent requests of an engine.
    #[serde(default = "default_concurrent")]
    pub engine_concurrent: u32,
    /// Bound of the profiles on the answers of a version in roll-out.
    #[serde(default = "default_exposure")]
    pub max_exposure: u64,
    /// A version that is listed and loaded, but withdrawn at the start.
    #[serde(skip)]
    pub new_version: Option<bench::NewVersion>,
    /// Behaviour of cold engines; without it engines are always warm.
    #[serde(default)]
    pub cold: Option<standin::ColdStart>,
}

const fn default_exposure() -> u64 {
    200
}

const fn default_concurrent() -> u32 {
    DEFAULT_ENGINE_CONCURRENT
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
    /// Quality of its answers, which is also the operators' prior.
    pub quality: f64,
    /// Quality of its answers to tasks on which it is better or worse.
    #[serde(default)]
    pub task_quality: BTreeMap<String, f64>,
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
    pub kind: RequestKind,
    /// Share of the requests.
    pub share: f64,
    /// Time in which an answer is worth something.
    pub deadline_ms: units::Millis,
}

/// What a request asks for.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RequestKind {
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
        /// Label of the kind of work.
        #[serde(default)]
        task: Option<String>,
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

impl Model {
    /// Name of its version.
    #[must_use]
    pub fn version(&self) -> String {
        format!("{}-1", self.name)
    }
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
    pub fn model_index_of_engine(&self, i: usize) -> usize {
        let position = (i as f64 + 0.5) / self.engines as f64;
        pick_by_share(self.models.iter().map(|model| model.share), position)
    }

    /// True quality of a model's answers to a task.
    #[must_use]
    pub fn quality(&self, version: &str, task: Option<&str>) -> f64 {
        let model = self.models.iter().find(|model| model.version() == version);
        model.map_or(0.0, |model| {
            let of_task = task.and_then(|task| model.task_quality.get(task));
            of_task.copied().unwrap_or(model.quality)
        })
    }

    /// All versions.
    #[must_use]
    pub fn versions(&self) -> Vec<String> {
        let models = self.models.iter().map(Model::version);
        let new_version = self.new_version.iter().map(|new| new.version.to_string());
        models.chain(new_version).collect()
    }

    /// The model whose answers cost most.
    #[must_use]
    pub fn most_expensive(&self) -> Option<&Model> {
        self.models.iter().max_by_key(|model| model.cost)
    }

    /// The most expensive version; of two that cost the same, the entering one.
    #[must_use]
    pub fn most_expensive_version(&self) -> String {
        let most_expensive = self.most_expensive();
        let new_version = self.new_version.as_ref();
        let new_version =
            new_version.filter(|new| most_expensive.is_some_and(|model| model.name == new.model));
        new_version.map_or_else(
            || most_expensive.map(Model::version).unwrap_or_default(),
            |new| new.version.to_string(),
        )
    }

    /// Draws a team by its share.
    pub fn draw_team(&self, rng: &mut Rng) -> usize {
        let total: f64 = self.team_shares.iter().sum();
        pick_by_share(self.team_shares.iter().copied(), rng.f64() * total)
    }

    /// Draws a kind of request by its share.
    pub fn draw_request(&self, rng: &mut Rng) -> usize {
        let shares = self.requests.iter().map(|request| request.share);
        let total: f64 = shares.clone().sum();
        pick_by_share(shares, rng.f64() * total)
    }

    /// One-way delay to clients.
    #[must_use]
    pub const fn client_delay(&self) -> Duration {
        Duration::from_micros(self.client_delay_us)
    }
}

/// The place in which `drawn` falls among consecutive shares.
fn pick_by_share(shares: impl Iterator<Item = f64>, drawn: f64) -> usize {
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
