//! Reasons for which the server closes connections.

/// Reason for which the server closes a connection or ends its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CloseReason {
    /// Memory is short, and the connection held some without progress.
    Memory,
    /// The limit on connections is reached, and the connection was idle or stalled.
    Connections,
    /// The head of a request was not complete in time.
    HeadTime,
    /// The body of a request made no progress.
    BodyStall,
}
