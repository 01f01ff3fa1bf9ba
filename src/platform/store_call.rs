//! Server side of the store's HTTP API, for the stand-in store.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Bytes;
use hyper::header::HeaderName;
use hyper::{Method, StatusCode, Uri};
use serde_json::json;

use crate::ids;
use crate::platform;
use crate::platform::{record, target};

/// Path of append requests.
pub(super) const APPEND: &str = "/log-append";
/// Path of read requests.
pub(super) const READ: &str = "/log-read";
/// Path of requests for the newest record of each key.
pub(super) const NEWEST: &str = "/log-newest";
/// Path of requests to join a group.
pub(super) const JOIN: &str = "/log-join";

/// Path of requests for the members of a group.
pub(super) const OWNERS: &str = "/log-owners";

/// Header of each response: the era of the store.
pub const ERA: HeaderName = HeaderName::from_static("store-era");

/// Returns the kind of a call by its path and topic, as counted in the metrics.
#[must_use]
pub fn kind(uri: &str) -> &'static str {
    let (path, query) = uri.split_once('?').unwrap_or((uri, ""));
    let topic = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("Topic="))
        .unwrap_or_default();
    match (path, topic) {
        (JOIN, _) => "join",
        (OWNERS, _) => "members",
        (READ, platform::operator::TOPIC) => "read_operator",
        (READ, platform::endpoint_record::TOPIC) => "read_endpoints",
        (READ, platform::rollout_status::TOPIC) => "read_reports",
        (NEWEST, platform::operator::TOPIC) => "list_operator",
        (NEWEST, platform::endpoint_record::TOPIC) => "list_endpoints",
        (NEWEST, platform::rollout_status::TOPIC) => "list_reports",
        (NEWEST, platform::evidence_record::TOPIC) => "list_evidence",
        (APPEND, platform::evidence_record::TOPIC) => "append_evidence",
        (APPEND, platform::rollout_status::TOPIC) => "append_reports",
        (APPEND, _) => "append",
        _ => "read",
    }
}

/// A decoded request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Appends records, all or none.
    Append {
        /// Topic to which the records are appended.
        topic: Arc<str>,
        /// Required end of the partition; `None` appends at any end.
        at: Option<ids::Offset>,
        /// Contents of the records, in order.
        records: Vec<Bytes>,
    },
    /// Reads records from an offset on.
    Read {
        /// Topic whose records are read.
        topic: Arc<str>,
        /// Offset of the first requested record.
        from: ids::Offset,
        /// Maximum time to wait for a record where there is none yet.
        wait: Duration,
    },
    /// Lists the newest record of each key.
    Newest {
        /// Topic whose records are listed.
        topic: Arc<str>,
        /// Lists only the keys after this one; `None` lists from the first key.
        after: Option<Bytes>,
    },
    /// Joins a group or stays in it.
    Join(platform::group::Join),
    /// Lists the members of a group.
    Owners,
}

/// HTTP status and body of a response of the store.
pub type StoreAnswer = (StatusCode, Bytes);

impl StoreCall {
    /// Decodes a request; `None` where it is not a valid request to the store.
    #[must_use]
    pub fn decode(method: &Method, uri: &Uri, body: &Bytes) -> Option<Self> {
        if (method, uri.path()) == (&Method::POST, JOIN) {
            return serde_json::from_slice(body).ok().map(Self::Join);
        }
        if (method, uri.path()) == (&Method::GET, OWNERS) {
            return Some(Self::Owners);
        }
        let topic: Arc<str> = text(uri, "Topic")?.into();
        match (method, uri.path()) {
            (&Method::POST, APPEND) => Some(Self::Append {
                topic,
                at: text(uri, "At").and_then(|at| at.parse().ok()),
                records: record::decode(body)?,
            }),
            (&Method::GET, READ) => {
                let wait = text(uri, "WaitMs").and_then(|wait| wait.parse().ok());
                Some(Self::Read {
                    topic,
                    from: text(uri, "From")?.parse().ok()?,
                    wait: Duration::from_millis(wait.unwrap_or(0)),
                })
            }
            (&Method::GET, NEWEST) => Some(Self::Newest {
                topic,
                after: target::parameter(uri, "After").map(Into::into),
            }),
            _ => None,
        }
    }
}

fn text(uri: &Uri, name: &str) -> Option<String> {
    String::from_utf8(target::parameter(uri, name)?).ok()
}

/// Encodes the response to a read.
#[must_use]
pub fn read_answer(read: &platform::ReadOutcome) -> StoreAnswer {
    match read {
        platform::ReadOutcome::Expired { first_retained } => {
            json_answer(StatusCode::GONE, &json!({ "First": first_retained }))
        }
        platform::ReadOutcome::Records(page) => {
            let mut body = Vec::new();
            body.extend_from_slice(&page.end.0.to_be_bytes());
            body.extend_from_slice(&page.first_retained.0.to_be_bytes());
            body.extend_from_slice(&record::encode(&page.records));
            (StatusCode::OK, body.into())
        }
    }
}

/// Encodes the response to an append of `count` records.
#[must_use]
pub fn append_answer(appended: platform::AppendOutcome, count: usize) -> StoreAnswer {
    match appended {
        platform::AppendOutcome::AppendedAt(offset) => {
            let end = offset.0 + count as u64;
            json_answer(StatusCode::OK, &json!({ "Offset": offset, "End": end }))
        }
        platform::AppendOutcome::EndMismatch { end } => {
            json_answer(StatusCode::PRECONDITION_FAILED, &json!({ "End": end }))
        }
    }
}

/// Encodes the response to a request for the newest records.
#[must_use]
pub fn newest_answer(newest: &platform::NewestPage) -> StoreAnswer {
    let items: Vec<_> = newest
        .records
        .iter()
        .map(|record| {
            let value = STANDARD.encode(&record.value);
            json!({ "Key": record.key, "Value": value, "Offset": record.offset })
        })
        .collect();
    let body = json!({ "Items": items, "HasMore": newest.has_more, "End": newest.end.offset });
    json_answer(StatusCode::OK, &body)
}

/// Encodes the response to a member of a group.
#[must_use]
pub fn join_answer(membership: &platform::group::Membership) -> StoreAnswer {
    json_answer(StatusCode::OK, &json!(membership))
}

/// Encodes the response with the members of a group.
#[must_use]
pub fn owners_answer(owned: &[platform::group::OwnedPartition]) -> StoreAnswer {
    json_answer(StatusCode::OK, &json!({ "parts": owned }))
}

fn json_answer(status: StatusCode, body: &serde_json::Value) -> StoreAnswer {
    (status, body.to_string().into())
}
