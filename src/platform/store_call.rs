//! Calls of the store as its server sees them, for stand-ins.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Bytes;
use hyper::{Method, StatusCode, Uri};
use serde_json::json;

use crate::ids;
use crate::platform;
use crate::platform::record;

/// Path of appends.
pub(super) const APPEND: &str = "/log-append";
/// Path of reads.
pub(super) const READ: &str = "/log-read";
/// Path of listings of the newest records.
pub(super) const NEWEST: &str = "/log-newest";

/// A call of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Adds records, all or none.
    Append {
        /// The topic.
        topic: Arc<str>,
        /// Where the partition must end; anywhere if `None`.
        at: Option<ids::Offset>,
        /// Contents of the records.
        records: Vec<Bytes>,
    },
    /// Reads records.
    Read {
        /// The topic.
        topic: Arc<str>,
        /// The first wanted record.
        from: ids::Offset,
        /// How long to wait for a record.
        wait: Duration,
    },
    /// Lists the newest record of each key.
    Newest {
        /// The topic.
        topic: Arc<str>,
        /// Only keys after this one.
        after: Option<Arc<str>>,
    },
}

/// Status and body of an answer.
pub type StoreAnswer = (StatusCode, Bytes);

impl StoreCall {
    /// Decodes a call; `None` where it is no call of the store.
    #[must_use]
    pub fn decode(method: &Method, uri: &Uri, body: &Bytes) -> Option<Self> {
        let topic: Arc<str> = parameter(uri, "Topic")?.into();
        match (method, uri.path()) {
            (&Method::POST, APPEND) => Some(Self::Append {
                topic,
                at: parameter(uri, "At").and_then(|at| at.parse().ok()),
                records: record::decode(body)?,
            }),
            (&Method::GET, READ) => {
                let wait = parameter(uri, "WaitMs").and_then(|wait| wait.parse().ok());
                Some(Self::Read {
                    topic,
                    from: parameter(uri, "From")?.parse().ok()?,
                    wait: Duration::from_millis(wait.unwrap_or(0)),
                })
            }
            (&Method::GET, NEWEST) => Some(Self::Newest {
                topic,
                after: parameter(uri, "After").map(Into::into),
            }),
            _ => None,
        }
    }
}

fn parameter<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// The answer to a read.
#[must_use]
pub fn read_answer(read: &platform::Read) -> StoreAnswer {
    match read {
        platform::Read::Expired { first_retained } => {
            json_answer(StatusCode::GONE, &json!({ "First": first_retained }))
        }
        platform::Read::Records(page) => {
            let mut body = Vec::new();
            body.extend_from_slice(&page.end.0.to_be_bytes());
            body.extend_from_slice(&page.first_retained.0.to_be_bytes());
            body.extend_from_slice(&record::encode(&page.records));
            (StatusCode::OK, body.into())
        }
    }
}

/// The answer to an append.
#[must_use]
pub fn append_answer(appended: platform::Appended, count: usize) -> StoreAnswer {
    match appended {
        platform::Appended::At(offset) => {
            let end = offset.0 + count as u64;
            json_answer(StatusCode::OK, &json!({ "Offset": offset, "End": end }))
        }
        platform::Appended::Moved { end } => {
            json_answer(StatusCode::PRECONDITION_FAILED, &json!({ "End": end }))
        }
    }
}

/// The answer to a listing.
#[must_use]
pub fn newest_answer(newest: &platform::Newest) -> StoreAnswer {
    let items: Vec<_> = newest
        .records
        .iter()
        .map(|record| {
            let value = STANDARD.encode(record.value.as_deref().unwrap_or_default());
            json!({ "Key": record.key, "Value": value, "Offset": record.offset })
        })
        .collect();
    let body = json!({ "Items": items, "HasMore": newest.has_more, "End": newest.end });
    json_answer(StatusCode::OK, &body)
}

fn json_answer(status: StatusCode, body: &serde_json::Value) -> StoreAnswer {
    (status, body.to_string().into())
}
