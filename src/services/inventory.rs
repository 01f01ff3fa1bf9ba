//! Client of the platform's list of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Request, StatusCode};

use crate::fleet;
use crate::http;
use crate::ids;
use crate::platform;
use crate::runtime;
use crate::units;

/// Time for a read of the list.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Largest list; 1,000 VMs take about 200 KB.
const MAX_LIST: units::Bytes = units::Bytes(4 * 1_024 * 1_024);

/// State of a VM in the list, which lags.
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
    /// In use.
    #[default]
    Live,
    /// About to be stopped: takes no new work.
    Leaving,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: ids::VmName,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Its region.
    pub region: ids::RegionName,
    /// Role of the process on it.
    pub role: fleet::NodeRole,
    /// Address of that process for other processes (UDP).
    pub peer_addr: SocketAddr,
    /// State.
    pub state: VmState,
}

/// Client of the list.
#[derive(Clone, Debug)]
pub struct Inventory {
    http: http::Client,
    /// Tag of the list that was read last.
    tag: Option<HeaderValue>,
}

impl Inventory {
    /// A client of the list at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self {
            http: http::Client::new(addr, traffic),
            tag: None,
        }
    }

    /// Reads the whole list; `None` where it is the one that was read last.
    /// A list of 960 VMs takes 120 KB, far above the budget of a read each second.
    pub async fn changed(&mut self) -> Result<Option<Vec<Vm>>, platform::PlatformError> {
        let mut req = Request::builder()
            .uri("/vms")
            .body(Full::default())
            .map_err(|err| http::HttpError::NotSent(err.to_string().into()))?;
        if let Some(tag) = &self.tag {
            req.headers_mut().insert(IF_NONE_MATCH, tag.clone());
        }
        let mut answer = self.http.send(req, TIMEOUT).await?;
        if answer.status == StatusCode::NOT_MODIFIED {
            // Read to its end, so that the connection is used again.
            while answer.chunk().await?.is_some() {}
            return Ok(None);
        }
        if !answer.status.is_success() {
            return Err(platform::PlatformError::Status(answer.status.as_u16()));
        }
        let tag = answer.headers.get(ETAG).cloned();
        let list = answer.json(MAX_LIST).await?;
        self.tag = tag;
        Ok(Some(list))
    }
}
