//! Finds the usage record of a request.

use std::time::Duration;

use crate::billing;
use crate::errors;
use crate::ids;
use crate::platform;

/// The first record of the request in the `usage` stream, which is the one
/// that counts.
pub async fn find(
    log: &platform::LogClient,
    request: ids::RequestId,
) -> Result<billing::UsageRecord, errors::Refusal> {
    let mut from = ids::Offset(0);
    loop {
        let page = log
            .read(platform::Stream::Usage, from, Duration::ZERO)
            .await
            .map_err(|err| {
                errors::Refusal::new(
                    errors::ResultCode::NotReady,
                    format!("cannot read usage records: {err}"),
                )
            })?;
        from = page.next_offset();
        let found = page
            .records
            .into_iter()
            .filter_map(|record| serde_json::from_value::<billing::UsageRecord>(record.body).ok())
            .find(|record| record.request == request);
        if let Some(record) = found {
            return Ok(record);
        }
        if from >= page.end {
            return Err(errors::Refusal::new(
                errors::ResultCode::UnknownObject,
                format!("no usage record of request {request} yet, or it has expired"),
            ));
        }
    }
}
