//! HTTP client of the platform's metadata store.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method, Request, StatusCode};

use crate::http;
use crate::ids;
use crate::observe;
use crate::peers;
use crate::platform;
use crate::platform::target::Target;
use crate::platform::{record, store_call};
use crate::runtime;
use crate::units;

/// Maximum time to connect; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum time for a call, besides the time that a read may wait for a record.
/// A slow store takes some hundred milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The same for the list of members, for which a call that renews leases waits.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of the body of a response.
const MAX_RESPONSE: units::Bytes = units::Bytes(16 * 1_024 * 1_024);
/// Size of the header before the records of a read: the end of the partition
/// and the first retained offset, 8 bytes each.
const READ_HEADER_BYTES: usize = 16;

/// Client of the store; clones share connections.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: Arc<ArcSwap<http::Client>>,
    traffic: runtime::Traffic,
    /// Latest era in any response; `None` before the first.
    era: Arc<Mutex<Option<ids::StoreEra>>>,
}

/// Consecutive records of a partition, the result of one read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordBatch {
    /// Offset of the first record in `records`.
    pub from: ids::Offset,
    /// Offset that the next appended record will have.
    pub end: ids::Offset,
    /// Offset of the oldest retained record.
    pub first_retained: ids::Offset,
    /// Contents, in order of their offsets.
    pub records: Vec<Bytes>,
}

/// Outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The records; empty where none arrived within the wait.
    Records(RecordBatch),
    /// The requested records are no longer retained.
    Expired {
        /// Offset of the oldest retained record, from which to read instead.
        first_retained: ids::Offset,
    },
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records were appended; holds the offset of the first one.
    AppendedAt(ids::Offset),
    /// Nothing was appended: the partition does not end at the expected offset.
    EndMismatch {
        /// Actual end of the partition.
        end: ids::Offset,
    },
}

/// Response of the store.
struct Answer {
    status: StatusCode,
    era: ids::StoreEra,
    body: Bytes,
}

impl Answer {
    fn unexpected(&self) -> platform::PlatformError {
        platform::PlatformError::Status(self.status.as_u16())
    }
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct AppendBody {
    offset: ids::Offset,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct MovedBody {
    end: ids::Offset,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ExpiredBody {
    first: ids::Offset,
}

impl StoreClient {
    /// Creates a client of the store at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self {
            http: Arc::new(ArcSwap::from_pointee(client(addr, &traffic))),
            traffic,
            era: Arc::default(),
        }
    }

    /// Switches to the store at `addr` from the next call on; a no-op for the current address.
    pub fn set_address(&self, addr: SocketAddr) {
        if self.http.load().addr() != addr {
            self.http.store(Arc::new(client(addr, &self.traffic)));
        }
    }

    /// Reads records from `from` on; waits up to `wait` for a record where there is none yet.
    /// Fails with `Restored` where the position is of an earlier era.
    pub async fn read(
        &self,
        topic: &str,
        from: ids::Position,
        wait: Duration,
    ) -> Result<ReadOutcome, platform::PlatformError> {
        let (era, read) = self.read_offset(topic, from.offset, wait).await?;
        match era.cmp(&from.era) {
            Ordering::Equal => Ok(read),
            Ordering::Greater => Err(platform::PlatformError::Restored),
            Ordering::Less => Err(platform::malformed(&"response of an earlier era")),
        }
    }

    /// Reads records from an offset on, whatever the era in which it was given out. Returns
    /// the era of the response too.
    pub(super) async fn read_offset(
        &self,
        topic: &str,
        from: ids::Offset,
        wait: Duration,
    ) -> Result<(ids::StoreEra, ReadOutcome), platform::PlatformError> {
        let target = partition(store_call::READ, topic)
            .with("From", from.to_string())
            .with("WaitMs", wait.as_millis().to_string());
        let answer = self
            .call(Method::GET, target, Bytes::new(), wait + CALL_TIMEOUT)
            .await?;
        let read = match answer.status {
            StatusCode::OK => decode_read(from, &answer.body)?,
            StatusCode::GONE => ReadOutcome::Expired {
                first_retained: parse::<ExpiredBody>(&answer.body)?.first,
            },
            _ => return Err(answer.unexpected()),
        };
        Ok((answer.era, read))
    }

    /// Lists one page of the newest records of the keys after `after`, or from the first key on.
    pub async fn newest(
        &self,
        topic: &str,
        after: Option<&[u8]>,
    ) -> Result<platform::NewestPage, platform::PlatformError> {
        let mut target = partition(store_call::NEWEST, topic);
        if let Some(after) = after {
            target = target.with("After", after);
        }
        let answer = self
            .call(Method::GET, target, Bytes::new(), CALL_TIMEOUT)
            .await?;
        if answer.status != StatusCode::OK {
            return Err(answer.unexpected());
        }
        platform::NewestPage::decode(answer.era, &answer.body)
    }

    /// Appends records to a topic, all or none; where `at` is given, only if the
    /// partition ends there. Fails with `Restored` where that is of an earlier era than any
    /// response so far.
    pub async fn append(
        &self,
        topic: &str,
        at: Option<ids::Position>,
        records: &[Bytes],
    ) -> Result<AppendOutcome, platform::PlatformError> {
        let mut target = partition(store_call::APPEND, topic);
        if let Some(at) = at {
            if self.latest_era().is_some_and(|latest| latest > at.era) {
                return Err(platform::PlatformError::Restored);
            }
            target = target.with("At", at.offset.to_string());
        }
        let body = record::encode(records);
        let answer = self.call(Method::POST, target, body, CALL_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK => Ok(AppendOutcome::AppendedAt(
                parse::<AppendBody>(&answer.body)?.offset,
            )),
            StatusCode::PRECONDITION_FAILED => Ok(AppendOutcome::EndMismatch {
                end: parse::<MovedBody>(&answer.body)?.end,
            }),
            _ => Err(answer.unexpected()),
        }
    }

    /// Joins a group of members, among which partitions are divided, or stays in it.
    pub async fn join(
        &self,
        join: &platform::group::Join,
    ) -> Result<platform::group::Membership, platform::PlatformError> {
        let body = join.encode().map_err(|err| {
            platform::PlatformError::Refused(http::HttpError::Malformed(err.to_string().into()))
        })?;
        let target = Target::new(store_call::JOIN);
        let answer = self.call(Method::POST, target, body, CALL_TIMEOUT).await?;
        if answer.status != StatusCode::OK {
            return Err(answer.unexpected());
        }
        let mut membership: platform::group::Membership = parse(&answer.body)?;
        membership.era = answer.era;
        Ok(membership)
    }

    /// Lists the members that hold partitions in the group of the entries.
    pub async fn members(&self) -> Result<Vec<peers::Member>, platform::PlatformError> {
        let target = Target::new(store_call::OWNERS).with("group", platform::group::GROUP);
        let answer = self
            .call(Method::GET, target, Bytes::new(), MEMBERS_TIMEOUT)
            .await?;
        if answer.status != StatusCode::OK {
            return Err(answer.unexpected());
        }
        platform::group::decode_owners(&answer.body)
            .ok_or_else(|| platform::malformed(&"answer without rows"))
    }

    /// Returns the latest era in any response; `None` before the first.
    #[must_use]
    pub fn latest_era(&self) -> Option<ids::StoreEra> {
        *self.era.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the era of a response; a store that states none stays in the first one.
    fn record_era(&self, headers: &HeaderMap) -> ids::StoreEra {
        let stated = headers
            .get(&store_call::ERA)
            .and_then(|era| era.to_str().ok());
        let era: ids::StoreEra = stated.and_then(|era| era.parse().ok()).unwrap_or_default();
        let mut latest = self.era.lock().unwrap_or_else(PoisonError::into_inner);
        let before = *latest;
        if before.is_none_or(|before| era > before) {
            *latest = Some(era);
            if let Some(before) = before {
                log::warn!(target: "store", era:% = era, before:% = before;
                    "store has come back from an older copy, writes of the last seconds are gone");
                observe::metrics().record_store_restored();
            }
        }
        era
    }

    /// Sends a request and reads its response. The timeout covers the body too,
    /// since the store may stall after it has sent the response head.
    async fn call(
        &self,
        method: Method,
        target: Target,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, platform::PlatformError> {
        let began = Instant::now();
        let deadline = began + timeout;
        let kind = store_call::kind(target.as_str());
        let req = Request::builder()
            .method(method)
            .uri(target.as_str())
            .body(Full::new(body))
            .map_err(|err| http::HttpError::NotSent(err.to_string().into()))?;
        let exchange = async {
            let http = self.http.load_full();
            let answer = http.send(req, timeout).await?;
            Ok(Answer {
                status: answer.status,
                era: self.record_era(&answer.headers),
                body: answer.bytes(MAX_RESPONSE).await?,
            })
        };
        let result = runtime::timeout_at(deadline, exchange).await.unwrap_or(Err(
            platform::PlatformError::Unknown(http::HttpError::TimedOut),
        ));
        let outcome = match &result {
            Ok(answer) if answer.status.is_server_error() => "refused",
            Ok(_) => "answered",
            Err(platform::PlatformError::Refused(_)) => "unreachable",
            Err(_) => "unanswered",
        };
        observe::metrics().record_store_call(kind, outcome, began.elapsed());
        result
    }
}

fn client(addr: SocketAddr, traffic: &runtime::Traffic) -> http::Client {
    let limits = http::ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        ..http::ClientLimits::default()
    };
    http::Client::with_limits(addr, traffic.clone(), limits)
}

/// Returns the target of a call on the only partition of a topic.
fn partition(path: &str, topic: &str) -> Target {
    Target::new(path).with("Topic", topic).with("part", "0")
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, platform::PlatformError> {
    serde_json::from_slice(body).map_err(|err| platform::malformed(&err))
}

fn decode_read(from: ids::Offset, body: &Bytes) -> Result<ReadOutcome, platform::PlatformError> {
    let offset_at = |at: usize| {
        body.get(at..at + 8)
            .and_then(|bytes| <[u8; 8]>::try_from(bytes).ok())
            .map(|bytes| ids::Offset(u64::from_be_bytes(bytes)))
            .ok_or_else(|| platform::malformed(&"answer without its offsets"))
    };
    let records = record::decode(&body.slice(READ_HEADER_BYTES.min(body.len())..))
        .ok_or_else(|| platform::malformed(&"truncated record"))?;
    Ok(ReadOutcome::Records(RecordBatch {
        from,
        end: offset_at(0)?,
        first_retained: offset_at(8)?,
        records,
    }))
}
