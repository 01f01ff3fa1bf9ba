//! Listings of the newest record of each key of a topic.

use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Bytes;
use serde_json::value::RawValue;

use crate::ids;
use crate::platform;

/// One page of the newest records of the keys of a topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// The records, ordered by key.
    pub records: Vec<KeyedRecord>,
    /// Number of items that are left out, as their keys cannot be read.
    pub without_key: usize,
    /// Whether more keys follow.
    pub has_more: bool,
    /// End of the partition at the time of the listing.
    pub end: ids::Position,
}

/// The newest record of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record within its topic. Bytes that are not UTF-8 are replaced by U+FFFD.
    pub key: Arc<str>,
    /// Value of the record. An empty one stands for a value that cannot be read: no record of
    /// this system is empty, so that each decoder refuses it.
    pub value: Bytes,
    /// Position in the partition.
    pub offset: ids::Offset,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Body<'a> {
    /// Decoded one by one, so that an invalid one does not cost the others.
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    has_more: bool,
    end: ids::Offset,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Item<'a> {
    key: Arc<str>,
    /// The value in base64.
    #[serde(borrow)]
    value: Option<&'a RawValue>,
    offset: ids::Offset,
}

impl NewestPage {
    /// Decodes a page. An item that cannot be decoded costs itself only; the whole page fails
    /// where it is no list of items, or states no end.
    pub fn decode(era: ids::StoreEra, body: &[u8]) -> Result<Self, platform::PlatformError> {
        let text = String::from_utf8_lossy(body);
        let page: Body = serde_json::from_str(&text).map_err(|err| platform::malformed(&err))?;
        let records: Vec<_> = page.items.iter().filter_map(|item| decode(item)).collect();
        Ok(Self {
            without_key: page.items.len() - records.len(),
            records,
            has_more: page.has_more,
            end: ids::Position {
                era,
                offset: page.end,
            },
        })
    }
}

fn decode(item: &RawValue) -> Option<KeyedRecord> {
    let item: Item = serde_json::from_str(item.get()).ok()?;
    let value = item.value.and_then(|value| {
        let encoded: String = serde_json::from_str(value.get()).ok()?;
        STANDARD.decode(encoded).ok()
    });
    Some(KeyedRecord {
        key: item.key,
        value: value.unwrap_or_default().into(),
        offset: item.offset,
    })
}
