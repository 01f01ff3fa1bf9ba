//! Identifier newtypes: names chosen by operators, and numbers and digests
//! that the system generates.

mod digest;
mod fingerprint;
mod name;
mod number;
mod position;
mod request_id;

pub use digest::Digest;
pub use fingerprint::Fingerprint;
pub use name::{
    DomainName, EndpointId, InvalidName, ModelName, ProfileName, RegionName, RouteName,
    ServiceName, TeamName, VersionName, VmName,
};
pub use number::{
    DivisionGeneration, Fence, Generation, Incarnation, InvalidNumber, LeaseNumber, Offset,
    Revision, StoreEra,
};
pub use position::Position;
pub use request_id::{CallId, ChangeId, InvalidId, RequestId};
