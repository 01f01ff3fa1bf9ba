//! Framing of records: a length of four bytes (big-endian), then the content.
//!
//! The content of a record with a key is the length of the key in one byte,
//! the key and the value.

use hyper::body::Bytes;

/// Prefix of the names of topics whose records have keys.
const KEYED_TOPIC_PREFIX: &str = "keyed.";
/// Size of the length field before each record.
const LENGTH_BYTES: usize = 4;

/// Encodes records into the body of an append.
#[must_use]
pub fn encode(records: &[Bytes]) -> Bytes {
    let mut body = Vec::new();
    for record in records {
        let length = u32::try_from(record.len()).unwrap_or(u32::MAX);
        body.extend_from_slice(&length.to_be_bytes());
        body.extend_from_slice(record);
    }
    body.into()
}

/// Decodes the records of a body; `None` where the body is truncated.
#[must_use]
pub fn decode(body: &Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    let mut at = 0;
    while at < body.len() {
        let length: [u8; LENGTH_BYTES] = body.get(at..at + LENGTH_BYTES)?.try_into().ok()?;
        let start = at + LENGTH_BYTES;
        let end = start.checked_add(usize::try_from(u32::from_be_bytes(length)).ok()?)?;
        if end > body.len() {
            return None;
        }
        records.push(body.slice(start..end));
        at = end;
    }
    Some(records)
}

/// Encodes the content of a record with a key; `None` where the key is longer than 255 bytes.
#[must_use]
pub fn with_key(key: impl AsRef<[u8]>, value: &[u8]) -> Option<Bytes> {
    let key = key.as_ref();
    let mut content = vec![u8::try_from(key.len()).ok()?];
    content.extend_from_slice(key);
    content.extend_from_slice(value);
    Some(content.into())
}

/// Splits the content of a record into key and value. The value is `None` where
/// the key was removed; the result is `None` where the content is malformed.
#[must_use]
pub fn split_raw_key(content: &Bytes) -> Option<(&[u8], Option<Bytes>)> {
    let length = usize::from(*content.first()?);
    let key = content.get(1..=length)?;
    let value = content.slice(1 + length..);
    Some((key, (!value.is_empty()).then_some(value)))
}

/// Like [`split_raw_key`], for keys in UTF-8; the result is also `None` where the key is not.
#[must_use]
pub fn split_key(content: &Bytes) -> Option<(&str, Option<Bytes>)> {
    let (key, value) = split_raw_key(content)?;
    Some((std::str::from_utf8(key).ok()?, value))
}

/// Returns whether the records of the topic have keys, by the prefix of its name.
#[must_use]
pub fn has_keys(topic: &str) -> bool {
    topic.starts_with(KEYED_TOPIC_PREFIX)
}
