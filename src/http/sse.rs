//! Server-sent events, as read from engines.

use hyper::body::Bytes;

/// Splits a byte stream into the `data` payloads of its events.
#[derive(Debug, Default)]
pub struct SseReader {
    buf: Vec<u8>,
}

impl SseReader {
    /// Adds received bytes.
    pub fn push(&mut self, chunk: &Bytes) {
        self.buf.extend_from_slice(chunk);
    }

    /// Bytes that do not form a whole event yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.buf.len()
    }

    /// Takes the payload of the next whole event.
    pub fn next_data(&mut self) -> Option<String> {
        loop {
            let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
            let event: Vec<u8> = self.buf.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&event);
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
