//! Entry point of `quetzalworks-standin`, which runs one stand-in as a process.

use std::fmt;
use std::future;
use std::net::SocketAddr;
use std::process::ExitCode;

use crate::runtime;
use crate::standin;
use crate::units;

/// Executor threads per stand-in process.
const THREADS: usize = 2;

xflags::xflags! {
    /// A stand-in for a service of the platform or for an endpoint. Prints its
    /// address as JSON; `POST /standin/control` changes its behaviour.
    cmd quetzalworks-standin {
        /// The append-only log.
        cmd log {
            /// Address; port 0 lets the system choose one.
            required --listen addr: SocketAddr
        }
        /// The list of VMs.
        cmd inventory {
            /// Address; port 0 lets the system choose one.
            required --listen addr: SocketAddr
        }
        /// A model engine.
        cmd engine {
            /// Address; port 0 lets the system choose one.
            required --listen addr: SocketAddr
            /// Behaviour as a JSON object, such as {"versions":["small-1"]}.
            optional --options json: String
        }
        /// A booking service.
        cmd service {
            /// Address; port 0 lets the system choose one.
            required --listen addr: SocketAddr
        }
        /// The service that rates answers.
        cmd rating {
            /// Address; port 0 lets the system choose one.
            required --listen addr: SocketAddr
            /// Options as a JSON object: {"seed":1}.
            optional --options json: String
        }
        /// The weight store.
        cmd weights {
            /// Address; port 0 lets the system choose one.
            required --listen addr: SocketAddr
            /// Options as a JSON object: {"parallel":2,"load_ms":500}.
            optional --options json: String
        }
    }
}

/// JSON options of the rating service; the seed defaults to 1.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RatingOptions {
    seed: u64,
}

impl Default for RatingOptions {
    fn default() -> Self {
        Self { seed: 1 }
    }
}

/// JSON options of the weight store; default 2 parallel loads of 500 ms.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
struct WeightsOptions {
    parallel: u32,
    load_ms: units::Millis,
}

impl Default for WeightsOptions {
    fn default() -> Self {
        Self {
            parallel: 2,
            load_ms: units::Millis(500),
        }
    }
}

/// Runs the stand-in named on the command line until the process is killed.
#[must_use]
pub fn main() -> ExitCode {
    let flags = QuetzalworksStandin::from_env_or_exit();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match smol::block_on(run(flags.subcommand)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("standin: cannot start: {err}.");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: QuetzalworksStandinCmd) -> Result<(), Box<dyn std::error::Error>> {
    let traffic = runtime::Traffic::spawn_threads(THREADS)?;
    match command {
        QuetzalworksStandinCmd::Log(flags) => {
            let log = standin::StandinLog::bind(flags.listen, &traffic).await?;
            run_forever(log.addr(), log).await;
        }
        QuetzalworksStandinCmd::Inventory(flags) => {
            let list = standin::StandinInventory::bind(flags.listen, &traffic).await?;
            run_forever(list.addr(), list).await;
        }
        QuetzalworksStandinCmd::Engine(flags) => {
            let profile = parse_options(flags.options)?;
            let engine = standin::StandinEngine::bind(flags.listen, profile, &traffic).await?;
            run_forever(engine.addr(), engine).await;
        }
        QuetzalworksStandinCmd::Service(flags) => {
            let service = standin::StandinService::bind(flags.listen, &traffic).await?;
            run_forever(service.addr(), service).await;
        }
        QuetzalworksStandinCmd::Rating(flags) => {
            let RatingOptions { seed } = parse_options(flags.options)?;
            let rating = standin::StandinRating::bind(flags.listen, seed, &traffic).await?;
            run_forever(rating.addr(), rating).await;
        }
        QuetzalworksStandinCmd::Weights(flags) => {
            let WeightsOptions { parallel, load_ms } = parse_options(flags.options)?;
            let store = standin::StandinWeights::bind(flags.listen, parallel, load_ms, &traffic);
            let store = store.await?;
            run_forever(store.addr(), store).await;
        }
    }
    Ok(())
}

/// Prints the bound address as JSON, then keeps the stand-in running forever.
async fn run_forever<T>(addr: SocketAddr, standin: T) {
    println!("{}", serde_json::json!({ "addr": addr }));
    future::pending::<()>().await;
    drop(standin);
}

/// Parses `--options`; returns the defaults if the flag is missing.
fn parse_options<T: Default + serde::de::DeserializeOwned>(
    json: Option<String>,
) -> Result<T, OptionsError> {
    match json {
        Some(json) => serde_json::from_str(&json).map_err(OptionsError),
        None => Ok(T::default()),
    }
}

/// Error for `--options` that are no valid JSON object of this stand-in's options.
#[derive(Debug)]
struct OptionsError(serde_json::Error);

impl fmt::Display for OptionsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid --options: {}", self.0)
    }
}

impl std::error::Error for OptionsError {}
