//! Caller that sends raw bytes, for malformed or partial requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum time of one read; long, since CI machines may be overloaded.
const READ_TIMEOUT: Duration = Duration::from_mins(1);

/// Opens a connection and sends `bytes` on it.
pub fn open(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut tcp = TcpStream::connect(addr).unwrap();
    tcp.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // Ignored: the server may close the connection before it has read everything.
    let _ = tcp.write_all(bytes);
    tcp
}

/// Returns what the server sends until it closes the connection or a read times out.
pub fn read_to_close(mut tcp: TcpStream) -> String {
    let mut answer = Vec::new();
    let mut buf = [0; 4_096];
    // A reset after a refusal ends the answer like a regular close.
    while let Ok(n @ 1..) = tcp.read(&mut buf) {
        answer.extend_from_slice(&buf[..n]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns the bytes of a chat request that asks to close the connection after it.
pub fn chat(token: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nconnection: close\r\nauthorization: Bearer {token}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
