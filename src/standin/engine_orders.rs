//! Orders to a stand-in engine: loading and unloading versions.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::json;
use smol::Timer;

use crate::fleet;
use crate::http;
use crate::ids;
use crate::standin::engine_api::Engine;
use crate::standin::serve;

/// Maximum time for loading a version from the weight store.
const LOAD_TIMEOUT: Duration = Duration::from_mins(10);

#[derive(serde::Deserialize)]
struct Order {
    fence: ids::Fence,
    action: Action,
}

/// The JSON form of [`fleet::OrderAction`].
#[derive(serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum Action {
    Load(ids::VersionName),
    Unload(ids::VersionName),
}

impl From<Action> for fleet::OrderAction {
    fn from(action: Action) -> Self {
        match action {
            Action::Load(version) => Self::Load(version),
            Action::Unload(version) => Self::Unload(version),
        }
    }
}

/// Accepts an order at once and executes a load in the background; answers 409
/// for an outdated fencing number if the profile checks it.
pub async fn accept_order(engine: &Arc<Engine>, req: Request<Incoming>) -> http::Reply {
    let Some(order) = serve::read_json::<Order>(req).await else {
        return serve::status(StatusCode::BAD_REQUEST);
    };
    let mut core = engine.lock();
    if core.profile.checks_fence && order.fence < core.fence {
        core.stats.stale_orders += 1;
        return serve::status(StatusCode::CONFLICT);
    }
    core.fence = core.fence.max(order.fence);
    core.stats.orders += 1;
    match order.action.into() {
        fleet::OrderAction::Unload(version) => core.versions.retain(|loaded| *loaded != version),
        fleet::OrderAction::Load(version) => {
            let load = load_version(Arc::clone(engine), version);
            engine.traffic.spawn(load).detach();
        }
    }
    drop(core);
    http::json(StatusCode::ACCEPTED, &json!({}))
}

/// Loads a version from the weight store, or after `load_ms` if there is none.
async fn load_version(engine: Arc<Engine>, version: ids::VersionName) {
    let (store, time) = {
        let core = engine.lock();
        (core.profile.weights_addr, core.profile.load_ms.duration())
    };
    let loaded = if let Some(addr) = store {
        let client = http::Client::new(addr, engine.traffic.clone());
        fetch_weights(&client, &version).await.unwrap_or(false)
    } else {
        Timer::after(time).await;
        true
    };
    let mut core = engine.lock();
    if !loaded {
        core.stats.failed_loads += 1;
    } else if !core.versions.contains(&version) {
        core.versions.push(version);
    }
}

/// Requests the weights of a version; returns whether the store answered with success.
async fn fetch_weights(
    store: &http::Client,
    version: &ids::VersionName,
) -> Result<bool, http::HttpError> {
    let req = Request::builder()
        .uri(format!("/weights/{version}"))
        .body(Full::default())
        .map_err(|err| http::HttpError::NotSent(err.to_string().into()))?;
    Ok(store.send(req, LOAD_TIMEOUT).await?.status.is_success())
}
