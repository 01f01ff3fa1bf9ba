//! Status that a model engine reports about itself on request.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Request, Uri};

use crate::balance;

/// Path of the status. The request needs no place at the engine.
const PATH: &str = "/report";

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct StatusBody {
    /// Requests whose answer has not begun.
    queued: u32,
    running: u32,
}

/// Builds the request for the status of an engine.
#[must_use]
pub fn request() -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::default());
    *req.uri_mut() = Uri::from_static(PATH);
    req
}

/// Decodes a status. Fails where fields are missing or of another type.
pub fn decode(body: &[u8]) -> Result<balance::ReportedLoad, String> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let status: StatusBody =
        serde_path_to_error::deserialize(&mut json).map_err(|err| err.to_string())?;
    Ok(balance::ReportedLoad {
        running: status.running,
        waiting: status.queued,
        slots: None,
        work_time: None,
    })
}
