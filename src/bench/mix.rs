//! Describes a deployment and its traffic.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;

use fastrand::Rng;

use crate::bench;
use crate::ids;
use crate::standin;
use crate::units;

/// Concurrent requests of an engine where the mix gives no number.
const DEFAULT_ENGINE_CONCURRENT: u32 = 64;

/// A deployment and its traffic, read from a JSON file.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Name of the deployment, for reports.
    pub name: String,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of entries, spread over the failure domains.
    pub entries: usize,
    /// Number of model engines, spread over the failure domains.
    pub engines: usize,
    /// Whether each engine is a child process; by default the engines run in this process.
    #[serde(default)]
    pub engine_processes: bool,
    /// Number of endpoints of the booking service, spread over the failure domains.
    pub booking_servers: usize,
    /// One-way delay between processes, also within a failure domain, in microseconds; 0 adds
    /// none.
    pub domain_delay_us: u64,
    /// One-way delay between callers and entries, in microseconds.
    pub client_delay_us: u64,
    /// Relative weights of the teams in the requests; their number is the number of teams.
    pub team_shares: Vec<f64>,
    /// Models, with the fraction of the engines that serve each.
    pub models: Vec<Model>,
    /// Kinds of requests with their relative weights.
    pub requests: Vec<RequestMix>,
    /// Concurrent requests of an engine; 64 by default.
    #[serde(default = "default_concurrent")]
    pub engine_concurrent: u32,
    /// Limit that the profiles set on the answers of a version in rollout; 200 by default.
    #[serde(default = "default_exposure")]
    pub max_exposure: u64,
    /// A version that the engines of its model serve, but that is published as withdrawn
    /// at the start.
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

/// A model, with the behaviour of the engines that serve it.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model, as configured and in the names of its versions.
    pub name: String,
    /// Fraction of the engines that serve the model.
    pub share: f64,
    /// Cost of 1,000 prompt tokens, in millionths.
    pub cost: u64,
    /// True quality of its answers, which is also the operators' prior.
    pub quality: f64,
    /// True quality by task, for tasks on which the model is better or worse.
    #[serde(default)]
    pub task_quality: BTreeMap<String, f64>,
    /// Time to the first token of an answer.
    pub first_token_ms: units::Millis,
    /// Time between the tokens of an answer.
    pub between_tokens_ms: units::Millis,
}

/// A kind of request with its weight and deadline.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestMix {
    /// What the request asks for.
    pub kind: RequestKind,
    /// Relative weight among the requests.
    pub share: f64,
    /// Deadline of the request; a later answer does not count as in time.
    pub deadline_ms: units::Millis,
}

/// What a request asks for, and from which service.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RequestKind {
    /// A completion by a model of a profile.
    Chat {
        /// Profile that the request names.
        profile: ids::ProfileName,
        /// Quality target that is published for the profile.
        quality_target: units::Quality,
        /// Whether the answer is streamed.
        stream: bool,
        /// Limit on the tokens of the answer.
        max_tokens: u64,
        /// Task label that the request carries; `None` sends no label.
        #[serde(default)]
        task: Option<String>,
    },
    /// A call of the booking service that must not be retried.
    Call {
        /// Path below the booking service.
        path: String,
    },
    /// A call of the booking service that may be retried.
    LookUp {
        /// Path below the booking service.
        path: String,
    },
}

impl Model {
    /// Returns the name of the model's version at the start.
    #[must_use]
    pub fn version(&self) -> String {
        format!("{}-1", self.name)
    }
}

impl Mix {
    /// Reads a mix from a JSON file; errs on unknown fields.
    pub fn open(path: &Path) -> Result<Self, bench::BenchError> {
        let text = fs::read_to_string(path)?;
        serde_json::from_str(&text).map_err(|err| format!("{}: {err}", path.display()).into())
    }

    /// Returns the index of the model that engine `i` serves.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn model_index_of_engine(&self, i: usize) -> usize {
        let position = (i as f64 + 0.5) / self.engines as f64;
        pick_by_share(self.models.iter().map(|model| model.share), position)
    }

    /// Returns the true quality of a version's answers to a task; 0 where no model has
    /// this version.
    #[must_use]
    pub fn quality(&self, version: &str, task: Option<&str>) -> f64 {
        let model = self.models.iter().find(|model| model.version() == version);
        model.map_or(0.0, |model| {
            let of_task = task.and_then(|task| model.task_quality.get(task));
            of_task.copied().unwrap_or(model.quality)
        })
    }

    /// Returns the versions of all models and the new version, where there is one.
    #[must_use]
    pub fn versions(&self) -> Vec<String> {
        let models = self.models.iter().map(Model::version);
        let new_version = self.new_version.iter().map(|new| new.version.to_string());
        models.chain(new_version).collect()
    }

    /// Returns the model whose prompt tokens cost most; `None` without models.
    #[must_use]
    pub fn most_expensive(&self) -> Option<&Model> {
        self.models.iter().max_by_key(|model| model.cost)
    }

    /// Returns the most expensive version; the new version where it belongs to the most
    /// expensive model. Empty without models.
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

    /// Draws the index of a team by its weight.
    pub fn draw_team(&self, rng: &mut Rng) -> usize {
        let total: f64 = self.team_shares.iter().sum();
        pick_by_share(self.team_shares.iter().copied(), rng.f64() * total)
    }

    /// Draws the index of a kind of request by its weight.
    pub fn draw_request(&self, rng: &mut Rng) -> usize {
        let shares = self.requests.iter().map(|request| request.share);
        let total: f64 = shares.clone().sum();
        pick_by_share(shares, rng.f64() * total)
    }

    /// Returns the one-way delay between callers and entries.
    #[must_use]
    pub const fn client_delay(&self) -> Duration {
        Duration::from_micros(self.client_delay_us)
    }
}

/// Returns the index of the interval that holds `drawn` when the shares are laid end to
/// end; the last index beyond their sum.
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
