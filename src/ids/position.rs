//! Position in a topic of the store.

use std::fmt;

use crate::ids;

/// Position in a topic. An offset means the same record only within the era in which it was
/// given out.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Position {
    /// Era of the store.
    pub era: ids::StoreEra,
    /// Offset in the topic.
    pub offset: ids::Offset,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in era {}", self.offset, self.era)
    }
}
