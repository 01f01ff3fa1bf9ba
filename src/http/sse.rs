//! Decoding of server-sent events.

use hyper::body::Bytes;

/// Extracts the `data` payloads of events from a byte stream.
#[derive(Debug, Default)]
pub struct SseReader {
    splitter: EventSplitter,
}

impl SseReader {
    /// Adds bytes that were received from the stream.
    pub fn push(&mut self, chunk: &Bytes) {
        self.splitter.push(chunk);
    }

    /// Returns the number of bytes that were received and not taken as events yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.splitter.pending()
    }

    /// Takes the payload of the next complete event that has one; `None` until more bytes
    /// arrive.
    pub fn next_data(&mut self) -> Option<String> {
        loop {
            let event = self.splitter.next_event()?;
            let text = String::from_utf8_lossy(&event.bytes);
            let data: Vec<&str> = text
                .lines()
                .filter_map(|line| line.strip_prefix("data:"))
                .map(str::trim_start)
                .collect();
            if !data.is_empty() {
                return Some(data.join("\n"));
            }
        }
    }
}

/// One event as it was sent, including its separator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, unchanged.
    pub bytes: Bytes,
    /// Id of the event; `None` if absent or not a number.
    pub id: Option<u64>,
}

impl Event {
    /// Returns whether it has no field, only comments and blank lines.
    #[must_use]
    pub fn is_comment(&self) -> bool {
        is_comment(&self.bytes)
    }
}

/// Splits a byte stream into complete events and leaves their bytes unchanged.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    /// Number of bytes at the start of the buffer that were searched and have no
    /// separator.
    searched_bytes: usize,
    /// Number of bytes at the start of the buffer that are complete comments.
    comment_bytes: usize,
}

impl EventSplitter {
    /// Adds bytes that were received from the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Returns the number of bytes that were received and not taken as events yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether a complete event is buffered; comments are none.
    pub fn has_event(&mut self) -> bool {
        while let Some(end) = self.separator_end(self.comment_bytes) {
            if !is_comment(&self.buf[self.comment_bytes..end]) {
                return true;
            }
            self.comment_bytes = end;
        }
        false
    }

    /// Counts the complete events that are buffered, without comments.
    #[must_use]
    pub fn count_events(&self) -> u32 {
        let mut rest = Self {
            buf: self.buf.clone(),
            ..Self::default()
        };
        let events = std::iter::from_fn(|| rest.next_event());
        let count = events.filter(|event| !event.is_comment()).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Takes the next complete event or comment; `None` until more bytes arrive.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = if self.comment_bytes > 0 {
            self.comment_bytes
        } else {
            self.separator_end(0)?
        };
        let bytes: Bytes = self.buf.drain(..end).collect();
        self.comment_bytes = 0;
        self.searched_bytes = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the end of the first blank line at `start` or after it. Lines end in LF or
    /// CR LF.
    fn separator_end(&mut self, start: usize) -> Option<usize> {
        let from = self.searched_bytes.saturating_sub(3).max(start);
        for at in from..self.buf.len() {
            let rest = &self.buf[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
        }
        self.searched_bytes = self.buf.len();
        None
    }
}

/// Returns whether a block has no field, only comments and blank lines. It keeps the
/// connection open, but is no progress of the answer.
fn is_comment(block: &[u8]) -> bool {
    block
        .split(|byte| *byte == b'\n')
        .all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
