//! Preconditions of changes: `If-Match` and `If-None-Match`.

use hyper::HeaderMap;
use hyper::header::{IF_MATCH, IF_NONE_MATCH};

use crate::admin;
use crate::catalog;
use crate::errors;
use crate::ids;

/// The state on which a change is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object has this revision.
    Match(ids::Revision),
    /// The object does not exist.
    Absent,
}

impl Condition {
    /// Reads the headers of a change.
    pub fn from_headers(headers: &HeaderMap) -> Result<Self, errors::Refusal> {
        match (headers.get(IF_MATCH), headers.get(IF_NONE_MATCH)) {
            (Some(value), None) => value
                .to_str()
                .ok()
                .and_then(parse_tag)
                .map(Self::Match)
                .ok_or_else(|| malformed("If-Match: expected one revision in quotes")),
            (None, Some(value)) if value.as_bytes() == b"*" => Ok(Self::Absent),
            (None, Some(_)) => Err(malformed("If-None-Match: expected *")),
            (Some(_), Some(_)) => Err(malformed("either If-Match or If-None-Match, not both")),
            (None, None) => Err(errors::Refusal::new(
                errors::ResultCode::PreconditionRequired,
                "a change needs If-Match: \"<revision>\" or If-None-Match: *",
            )),
        }
    }

    /// The base of a change under this condition. A base that is older than
    /// the applied revision has certainly lost; a newer one is left to the log.
    pub fn base(
        self,
        catalog: &catalog::Catalog,
        id: &catalog::ObjectId,
    ) -> Result<ids::Revision, admin::Failure> {
        let current = catalog.revision(id);
        match self {
            Self::Match(base) if base < current => Err(admin::Failure::conflict(current, None)),
            Self::Match(base) => Ok(base),
            Self::Absent if catalog.get(id).is_some() => {
                Err(admin::Failure::conflict(current, None))
            }
            Self::Absent => Ok(current),
        }
    }
}

fn parse_tag(text: &str) -> Option<ids::Revision> {
    text.trim()
        .strip_prefix('"')?
        .strip_suffix('"')?
        .parse()
        .ok()
}

fn malformed(reason: &str) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::MalformedRequest, reason)
}
