//! Server-sent events, as read from engines.

use hyper::body::Bytes;

/// Splits a byte stream into the `data` payloads of its events.
#[derive(Debug, Default)]
pub struct SseReader {
    splitter: EventSplitter,
}

impl SseReader {
    /// Adds received bytes.
    pub fn push(&mut self, chunk: &Bytes) {
        self.splitter.push(chunk);
    }

    /// Bytes that do not form a whole event yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.splitter.pending()
    }

    /// Takes the payload of the next whole event that has one.
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

/// One event as it was sent, with its separator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes.
    pub bytes: Bytes,
    /// Its id, where that is a number.
    pub id: Option<u64>,
}

/// Splits a byte stream into whole events, unchanged.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    /// Bytes at the start of the buffer that hold no separator.
    searched: usize,
}

impl EventSplitter {
    /// Adds received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Bytes that do not form a whole event yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.buf.len()
    }

    /// Whether a whole event has arrived.
    pub fn has_event(&mut self) -> bool {
        self.separator().is_some()
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.separator()?;
        let bytes: Bytes = self.buf.drain(..end).collect();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// End of the first blank line; lines end in LF or CR LF.
    fn separator(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        for at in from..self.buf.len() {
            let rest = &self.buf[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
        }
        self.searched = self.buf.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
