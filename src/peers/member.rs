//! An entry as the others know it from the store.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use crate::ids;

/// Separator of the parts; no part contains it.
const SEPARATOR: char = '/';

/// A member of the group of entries.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct Member {
    /// VM of the entry.
    pub vm: ids::VmName,
    /// Failure domain and address of the entry for other entries (TCP); `None` where it
    /// neither reads for others nor follows them.
    pub place: Option<(ids::DomainName, SocketAddr)>,
}

/// Error returned for a text that names no member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidMember(Arc<str>);

impl fmt::Display for InvalidMember {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid member {:?}: expected vm/domain/ip:port", self.0)
    }
}

impl std::error::Error for InvalidMember {}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.place {
            Some((domain, addr)) => {
                write!(f, "{}{SEPARATOR}{domain}{SEPARATOR}{addr}", self.vm)
            }
            None => write!(f, "{}", self.vm),
        }
    }
}

impl FromStr for Member {
    type Err = InvalidMember;

    fn from_str(text: &str) -> Result<Self, InvalidMember> {
        let parts: Vec<_> = text.split(SEPARATOR).collect();
        let parsed = match parts[..] {
            [vm] => vm.parse().ok().map(|vm| Self { vm, place: None }),
            [vm, domain, addr] => parse_placed(vm, domain, addr),
            _ => None,
        };
        parsed.ok_or_else(|| InvalidMember(text.into()))
    }
}

fn parse_placed(vm: &str, domain: &str, addr: &str) -> Option<Member> {
    Some(Member {
        vm: vm.parse().ok()?,
        place: Some((domain.parse().ok()?, addr.parse().ok()?)),
    })
}

impl TryFrom<Arc<str>> for Member {
    type Error = InvalidMember;

    fn try_from(text: Arc<str>) -> Result<Self, InvalidMember> {
        text.parse()
    }
}

impl From<Member> for Arc<str> {
    fn from(member: Member) -> Self {
        member.to_string().into()
    }
}
