//! Numbered result codes; `docs/result-codes.md` lists them for callers and operators.

/// Outcome of a request or operation that did not simply succeed.
///
/// The number is stable; it appears in error bodies, headers and log lines.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
#[repr(u16)]
pub enum ResultCode {
    /// The request is not valid HTTP or JSON, or a field has an invalid value.
    MalformedRequest = 1400,
    /// The team token is missing or unknown.
    Unauthorized = 1401,
    /// The team may not use this profile or service.
    NotAllowed = 1403,
    /// No profile has the requested name.
    UnknownProfile = 1404,
    /// No resource has the requested path.
    UnknownPath = 1405,
    /// The caller did not send the request within the time limit.
    SlowRequest = 1408,
    /// The request body exceeds the size limit.
    BodyTooLarge = 1413,
    /// The request has crashed endpoints and is quarantined.
    Quarantined = 1422,
    /// The request headers exceed the size limit.
    HeadersTooLarge = 1431,
    /// The caller disconnected before the answer was complete; appears only in records.
    Cancelled = 1499,
    /// A fault in the router itself; the request may have run.
    Internal = 1500,
    /// The answer was interrupted after it had begun and could not be resumed.
    Interrupted = 1502,
    /// Not run: every suitable endpoint is at its concurrency limit.
    Overloaded = 1503,
    /// Not run: the deadline could not be met.
    DeadlineNotRun = 1504,
    /// The deadline passed while the request was running.
    DeadlineExceeded = 1505,
    /// Not run: no endpoint serves an allowed version.
    NoEndpoint = 1506,
    /// Not run: the version is withdrawn.
    VersionWithdrawn = 1507,
    /// Not run: the failure domain or the VM is out of service.
    TakenOut = 1508,
    /// Not run: the process is draining.
    Draining = 1509,
    /// Not run: the connection to the endpoint could not be established or used.
    Unreachable = 1510,
    /// Not run: the endpoint has not loaded the version.
    VersionNotLoaded = 1511,
    /// Not run: the usage queue is full while the log is unavailable.
    UsageQueueFull = 1512,
    /// Not run at present: the request is suspected of having crashed several endpoints.
    CrashSuspect = 1513,
    /// No service has the requested name.
    UnknownService = 2004,
    /// The idempotency key was used before with a different body.
    KeyReused = 2006,
    /// A call with the same idempotency key is running; retry later.
    InProgress = 2007,
    /// It is unknown whether the call ran.
    OutcomeUnknown = 2008,
    /// Not run: the log is unavailable, so the call could not be claimed.
    ClaimUnavailable = 2009,
    /// Not run by this request: its key is older than the idempotency window. An
    /// earlier request with the key may have run.
    KeyExpired = 2010,
    /// Not run: the service accepts only keys that contain their creation time (`UUIDv7`).
    KeyUndated = 2011,
    /// Not run: the call requires an `Idempotency-Key` header.
    KeyMissing = 2012,
    /// Not run: the call was addressed to another incarnation of the sidecar.
    IncarnationMismatch = 2014,
    /// Not run: another entry has fenced the attempt.
    AttemptFenced = 2015,
    /// The configuration object is not valid.
    InvalidObject = 3001,
    /// The change was based on a revision that is no longer current.
    Conflict = 3002,
    /// Not accepted: the log is unavailable.
    NotAccepted = 3003,
    /// It is not known yet whether the change was accepted.
    ChangeUnknown = 3004,
    /// No configuration object has the requested name.
    UnknownObject = 3005,
    /// A change requires an `If-Match` or `If-None-Match` header.
    PreconditionRequired = 3006,
    /// The operator token is missing or wrong.
    OperatorUnauthorized = 4001,
    /// The order has a lower fencing number than one seen before.
    StaleFence = 4010,
    /// The process has not read its configuration yet.
    NotReady = 5001,
}

impl ResultCode {
    /// Returns the number that appears in error bodies and log lines.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns whether the code guarantees that the request was not run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        !matches!(
            self,
            Self::Cancelled
                | Self::Internal
                | Self::Interrupted
                | Self::DeadlineExceeded
                | Self::KeyReused
                | Self::InProgress
                | Self::OutcomeUnknown
                | Self::ChangeUnknown
        )
    }

    /// Returns whether a retry on another endpoint may succeed.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::Overloaded
                | Self::TakenOut
                | Self::Draining
                | Self::Unreachable
                | Self::VersionNotLoaded
                | Self::NoEndpoint
                | Self::IncarnationMismatch
                | Self::NotReady
        )
    }

    /// Returns the HTTP status of a response with this code.
    #[must_use]
    pub const fn http_status(self) -> u16 {
        match self {
            Self::MalformedRequest | Self::KeyUndated | Self::KeyMissing | Self::InvalidObject => {
                400
            }
            Self::Unauthorized | Self::OperatorUnauthorized => 401,
            Self::NotAllowed => 403,
            Self::UnknownProfile
            | Self::UnknownPath
            | Self::UnknownService
            | Self::UnknownObject => 404,
            // A caller that has disconnected receives no status; 408 fits best.
            Self::SlowRequest | Self::Cancelled => 408,
            Self::InProgress => 409,
            Self::KeyExpired => 410,
            Self::Conflict => 412,
            Self::BodyTooLarge => 413,
            Self::Quarantined | Self::KeyReused => 422,
            Self::PreconditionRequired => 428,
            Self::HeadersTooLarge => 431,
            Self::Internal => 500,
            Self::Interrupted | Self::OutcomeUnknown => 502,
            Self::DeadlineNotRun | Self::DeadlineExceeded | Self::ChangeUnknown => 504,
            Self::Overloaded
            | Self::NoEndpoint
            | Self::VersionWithdrawn
            | Self::TakenOut
            | Self::Draining
            | Self::Unreachable
            | Self::VersionNotLoaded
            | Self::UsageQueueFull
            | Self::CrashSuspect
            | Self::ClaimUnavailable
            | Self::IncarnationMismatch
            | Self::AttemptFenced
            | Self::NotAccepted
            | Self::StaleFence
            | Self::NotReady => 503,
        }
    }
}
