//! Client of the log: streams of JSON records in the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use serde_json::Value;

use crate::http;
use crate::ids;
use crate::platform;
use crate::runtime;

/// Client of the log's streams; clones share connections.
#[derive(Clone, Debug)]
pub struct LogClient {
    store: platform::StoreClient,
}

impl LogClient {
    /// Creates a client of the store at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self {
            store: platform::StoreClient::new(addr, traffic),
        }
    }

    /// Appends records in order, all with consecutive offsets or none at all.
    pub async fn append(
        &self,
        stream: platform::Stream,
        records: &[Value],
    ) -> Result<platform::AppendResult, platform::PlatformError> {
        let records: Vec<Bytes> = records
            .iter()
            .map(|record| record.to_string().into())
            .collect();
        match self
            .store
            .append(&stream.to_string(), None, &records)
            .await?
        {
            platform::AppendOutcome::AppendedAt(first) => Ok(platform::AppendResult { first }),
            // The store refuses an append only by a condition on the end of the partition.
            platform::AppendOutcome::EndMismatch { .. } => Err(platform::PlatformError::Refused(
                http::HttpError::Malformed("refused by a condition that was not stated".into()),
            )),
        }
    }

    /// Reads records from `from` on, or from the oldest retained one if `from` has
    /// expired. Waits up to `wait` for a record where there is none yet.
    pub async fn read(
        &self,
        stream: platform::Stream,
        from: ids::Offset,
        wait: Duration,
    ) -> Result<platform::Page, platform::PlatformError> {
        let topic = stream.to_string();
        let (_, mut read) = self.store.read_offset(&topic, from, wait).await?;
        if let platform::ReadOutcome::Expired { first_retained } = read {
            let again = self
                .store
                .read_offset(&topic, first_retained, Duration::ZERO);
            read = again.await?.1;
        }
        match read {
            platform::ReadOutcome::Records(records) => Ok(page(stream, records)),
            platform::ReadOutcome::Expired { .. } => Err(platform::PlatformError::Refused(
                http::HttpError::Malformed("records expired while they were read".into()),
            )),
        }
    }
}

fn page(stream: platform::Stream, read: platform::RecordBatch) -> platform::Page {
    let offsets = read.from.0..;
    let records = offsets
        .zip(read.records)
        .map(|(offset, content)| {
            let offset = ids::Offset(offset);
            let body = serde_json::from_slice(&content).unwrap_or_else(|err| {
                log::error!("control: record at offset {offset} of {stream} is not JSON: {err}.");
                Value::Null
            });
            platform::LogRecord { offset, body }
        })
        .collect();
    platform::Page {
        first_retained: read.first_retained,
        end: read.end,
        records,
    }
}
