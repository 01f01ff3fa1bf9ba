//! Preconditions of changes, from the headers `If-Match` and `If-None-Match`.

use hyper::HeaderMap;
use hyper::header::{IF_MATCH, IF_NONE_MATCH};

use crate::admin;
use crate::catalog;
use crate::errors;
use crate::ids;

/// State that an object must have for a change to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object must have this revision.
    Match(ids::Revision),
    /// The object must not exist.
    Absent,
}

impl Condition {
    /// Parses the precondition of a change. Fails where neither or both of the
    /// headers are present, or one is malformed.
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

    /// Returns the revision on which a change under this condition is based. Fails
    /// with a conflict where the base is older than the applied revision; a newer
    /// base is decided by the order of the log.
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
