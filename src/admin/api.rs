//! Paths of the operators' API.

use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;

use crate::control;
use crate::errors;
use crate::http;
use crate::ids;
use crate::platform;

/// The path prefix of the API.
pub const PREFIX: &str = "/admin/v1/";

/// Answers operators.
#[derive(Debug)]
pub struct AdminApi {
    /// Digest of the operators' token.
    pub token: ids::Digest,
    /// The control thread.
    pub control: control::Control,
    /// The log.
    pub log: platform::LogClient,
    /// This VM.
    pub vm: ids::VmName,
}

impl AdminApi {
    /// Answers one request.
    pub fn answer(
        self: &Arc<Self>,
        req: &Request<Incoming>,
    ) -> Result<http::Reply, errors::Refusal> {
        let reason = format!("no resource {} {}", req.method(), req.uri().path());
        Err(errors::Refusal::new(
            errors::ResultCode::UnknownPath,
            reason,
        ))
    }
}
