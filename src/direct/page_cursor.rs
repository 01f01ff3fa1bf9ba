//! Course of one listing of a topic, page by page.
//!
//! Failure: a page that does not lead on, as the key at its end is not UTF-8 and so listed
//! otherwise than it is stored, or as the store repeats it.

use std::collections::HashSet;
use std::sync::Arc;

use crate::direct;
use crate::ids;
use crate::platform;

/// Maximum size of a key.
const MAX_KEY_BYTES: usize = 255;
/// Byte that sorts after all bytes of UTF-8.
const LAST_BYTE: u8 = 0xff;

/// Records of a listing that has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The newest record of each key.
    pub records: direct::KeyedValues,
    /// End of the topic as the first page stated it. The pages are not a consistent snapshot:
    /// later changes are to be read from here on.
    pub end: ids::Position,
    /// Whether the listing has reached the last key. Otherwise a key that is missing is not
    /// gone.
    pub is_whole: bool,
    /// Number of items that are left out, as their keys cannot be read.
    pub without_key: usize,
}

/// Listing in progress.
#[derive(Debug, Default)]
pub struct PageCursor {
    listing: Listing,
    keys: HashSet<Arc<str>>,
    /// Key after which the next page begins; `None` for the first page.
    after: Option<Vec<u8>>,
    /// Whether the last page had no new keys.
    is_stalled: bool,
}

/// A listing after a page.
#[derive(Debug)]
pub enum AnyListing {
    /// There is a further page.
    InProgress(PageCursor),
    /// There is none, or none can be reached.
    Ended(Listing),
}

impl PageCursor {
    /// Returns the key after which the next page begins; `None` for the first page.
    #[must_use]
    pub fn after(&self) -> Option<&[u8]> {
        self.after.as_deref()
    }

    /// Records the next page. Fails with `Restored` where the store has come back from a copy
    /// since the first one.
    pub fn record_page(
        mut self,
        page: platform::NewestPage,
    ) -> Result<AnyListing, platform::PlatformError> {
        if self.after.is_none() {
            self.listing.end = page.end;
        } else if self.listing.end.era != page.end.era {
            return Err(platform::PlatformError::Restored);
        }
        let known = self.keys.len();
        let next = page
            .has_more
            .then(|| next_after(&page.records, self.after()))
            .flatten();
        for record in page.records {
            if self.keys.insert(Arc::clone(&record.key)) {
                self.listing.records.push((record.key, Some(record.value)));
            }
        }
        self.listing.without_key += page.without_key;
        let is_stalled = self.keys.len() == known;
        // A page without new keys may be left by skipping its end, but not twice in a row.
        let leads_on = !is_stalled || !self.is_stalled;
        if let Some(after) = next
            && leads_on
        {
            return Ok(AnyListing::InProgress(Self {
                after: Some(after),
                is_stalled,
                ..self
            }));
        }
        self.listing.is_whole = !page.has_more;
        Ok(AnyListing::Ended(self.listing))
    }
}

/// Returns the key after which the next page begins: the last one of this page that is listed
/// as it is stored. Without any, all keys are skipped that share the last key's valid part and
/// go on with a byte beyond ASCII; no name that this system uses has one. `None` where this
/// page began `after` the same key.
fn next_after(records: &[platform::KeyedRecord], after: Option<&[u8]>) -> Option<Vec<u8>> {
    let is_next = |key: &Vec<u8>| Some(&**key) != after;
    let mut keys = records.iter().rev().map(|record| &*record.key);
    let last = keys.clone().next()?;
    let exact = keys.find(|key| !key.contains(char::REPLACEMENT_CHARACTER));
    let exact = exact.map(|key| key.as_bytes().to_vec()).filter(is_next);
    exact.or_else(|| {
        let (text, _) = last.split_once(char::REPLACEMENT_CHARACTER)?;
        let mut key = text.as_bytes().to_vec();
        key.resize(MAX_KEY_BYTES.max(key.len()), LAST_BYTE);
        Some(key).filter(is_next)
    })
}
