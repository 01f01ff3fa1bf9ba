//! The numbered result codes; `docs/result-codes.md` has the table.

/// Result of a request that was not simply answered.
///
/// The number is stable and appears in error bodies, headers and log lines.
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
    /// The request is not valid HTTP or JSON, or a field has a wrong value.
    MalformedRequest = 1400,
    /// The team token is missing or unknown.
    Unauthorized = 1401,
    /// The team may not use this profile or service.
    NotAllowed = 1403,
    /// No profile has this name.
    UnknownProfile = 1404,
    /// No resource has this path.
    UnknownPath = 1405,
    /// The request was not sent within the time limit.
    SlowRequest = 1408,
    /// The body is over the size limit.
    BodyTooLarge = 1413,
    /// The request has crashed endpoints and is quarantined.
    Quarantined = 1422,
    /// The headers are over the size limit.
    HeadersTooLarge = 1431,
    /// The caller went away before the answer was complete; only in records.
    Cancelled = 1499,
    /// A fault of the router itself; the request may have run.
    Internal = 1500,
    /// The answer broke off after it had begun and could not be resumed.
    Interrupted = 1502,
    /// Not run: every suitable endpoint is at its limit.
    Overloaded = 1503,
    /// Not run: the deadline could not be met.
    DeadlineNotRun = 1504,
    /// The deadline passed while the request was running.
    DeadlineExceeded = 1505,
    /// Not run: no endpoint serves an allowed version.
    NoEndpoint = 1506,
    /// Not run: the version is withdrawn.
    VersionWithdrawn = 1507,
    /// Not run: the failure domain or the VM is taken out.
    TakenOut = 1508,
    /// Not run: the process is draining.
    Draining = 1509,
    /// Not run: the connection to the endpoint could not be used.
    Unreachable = 1510,
    /// Not run: the endpoint does not serve the version.
    VersionNotLoaded = 1511,
    /// Not run: the usage queue is full while the log is unavailable.
    UsageQueueFull = 1512,
    /// Not run for now: the request has crashed several endpoints.
    CrashSuspect = 1513,
    /// No service has this name.
    UnknownService = 2004,
    /// The idempotency key was used before with another body.
    KeyReused = 2006,
    /// The same call is running; retry later.
    InProgress = 2007,
    /// Whether the call ran is not known.
    OutcomeUnknown = 2008,
    /// Not run: the log is unavailable, so the call could not be claimed.
    ClaimUnavailable = 2009,
    /// Not run now: the key is older than the idempotency window.
    KeyExpired = 2010,
    /// Not run: the service accepts only keys that carry their time (`UUIDv7`).
    KeyUndated = 2011,
    /// Not run: the call needs an `Idempotency-Key`.
    KeyMissing = 2012,
    /// Not run: the call was meant for an earlier run of the process beside the endpoint.
    IncarnationMismatch = 2014,
    /// Not run: another entry has fenced this attempt.
    AttemptFenced = 2015,
    /// The configuration object is not valid.
    InvalidObject = 3001,
    /// The change was made on a revision that is no longer current.
    Conflict = 3002,
    /// Not accepted: the log is unavailable.
    NotAccepted = 3003,
    /// Whether the change was accepted is not known yet.
    ChangeUnknown = 3004,
    /// No configuration object has this name.
    UnknownObject = 3005,
    /// A change needs `If-Match` or `If-None-Match`.
    PreconditionRequired = 3006,
    /// The operator token is missing or wrong.
    OperatorUnauthorized = 4001,
    /// An order has a fencing number lower than one seen before.
    StaleFence = 4010,
    /// The process has not read its configuration yet.
    NotReady = 5001,
}

impl ResultCode {
    /// The number in error bodies and log lines.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Whether the code states that nothing was run.
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

    /// Whether another endpoint may succeed where this code was given.
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

    /// The HTTP status of the response.
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
            // No status reaches a caller that has gone.
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
