//! Client of the platform's list of VMs, the inventory.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Request, StatusCode};
use serde_json::value::RawValue;

use crate::fleet;
use crate::http;
use crate::ids;
use crate::observe;
use crate::platform;
use crate::runtime;
use crate::units;

/// Maximum duration of one read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of the encoded list; 1,000 VMs take about 200 KB.
const MAX_LIST_SIZE: units::Bytes = units::Bytes(4 * 1_024 * 1_024);

/// State of a VM as the inventory lists it. The list lags behind the actual state.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// The VM is in use.
    #[default]
    Live,
    /// The VM is about to be stopped and takes no new work.
    Leaving,
}

/// A VM as the inventory lists it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Name of the VM, unique in the inventory.
    pub vm: ids::VmName,
    /// Failure domain that the VM belongs to.
    pub domain: ids::DomainName,
    /// Region that the VM belongs to.
    pub region: ids::RegionName,
    /// Role of the process that runs on the VM.
    pub role: fleet::NodeRole,
    /// UDP address at which other processes reach that process.
    pub peer_addr: SocketAddr,
    /// State of the VM; decides whether it is given new work.
    pub state: VmState,
}

/// Client that reads the list only when it has changed.
#[derive(Clone, Debug)]
pub struct InventoryClient {
    http: http::Client,
    /// Entity tag of the list that was read last; `None` before the first read.
    tag: Option<HeaderValue>,
}

impl InventoryClient {
    /// Creates a client of the inventory at `addr`; nothing is read yet.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self {
            http: http::Client::new(addr, traffic),
            tag: None,
        }
    }

    /// Reads the complete list, or returns `None` if it has not changed since the last
    /// read: a list of 960 VMs takes 120 KB, far above the budget for a read per second.
    /// VMs that cannot be decoded are left out; fails where there are no others.
    pub async fn fetch_if_changed(&mut self) -> Result<Option<Vec<Vm>>, platform::PlatformError> {
        let mut req = Request::builder()
            .uri("/vms")
            .body(Full::default())
            .map_err(|err| http::HttpError::NotSent(err.to_string().into()))?;
        if let Some(tag) = &self.tag {
            req.headers_mut().insert(IF_NONE_MATCH, tag.clone());
        }
        let mut answer = self.http.send(req, READ_TIMEOUT).await?;
        if answer.status == StatusCode::NOT_MODIFIED {
            // Reads the body to its end, so that the connection can be reused.
            while answer.chunk().await?.is_some() {}
            return Ok(None);
        }
        if !answer.status.is_success() {
            return Err(platform::PlatformError::Status(answer.status.as_u16()));
        }
        let tag = answer.headers.get(ETAG).cloned();
        let list = decode(&answer.bytes(MAX_LIST_SIZE).await?)?;
        self.tag = tag;
        Ok(Some(list))
    }
}

/// Decodes a list. A VM that cannot be decoded is left out, with a log line; but a list of
/// which none can be decoded must not count as empty.
fn decode(body: &[u8]) -> Result<Vec<Vm>, http::HttpError> {
    let text = String::from_utf8_lossy(body);
    let rows: Vec<&RawValue> = serde_json::from_str(&text)
        .map_err(|err| http::HttpError::Malformed(err.to_string().into()))?;
    let mut left_out = observe::LeftOut::default();
    let mut vms = Vec::new();
    for row in &rows {
        match serde_json::from_str(row.get()) {
            Ok(vm) => vms.push(vm),
            Err(err) => left_out.push(&name(row), err),
        }
    }
    left_out.log("inventory");
    if vms.is_empty() && !rows.is_empty() {
        return Err(http::HttpError::Malformed("no usable VM".into()));
    }
    Ok(vms)
}

/// Returns the name that a row states, also where it is no valid one; empty without any.
fn name(row: &RawValue) -> String {
    let row: serde_json::Value = serde_json::from_str(row.get()).unwrap_or_default();
    row["vm"].as_str().unwrap_or_default().into()
}
