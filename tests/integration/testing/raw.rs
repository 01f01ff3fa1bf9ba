//! A caller that sends bytes as they are.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Generous, since CI machines are busy.
const TIMEOUT: Duration = Duration::from_mins(1);

/// A connection on which bytes were sent.
pub fn open(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut tcp = TcpStream::connect(addr).unwrap();
    tcp.set_read_timeout(Some(TIMEOUT)).unwrap();
    // The server may close before it has read everything.
    let _ = tcp.write_all(bytes);
    tcp
}

/// What the server sends until it closes the connection.
pub fn read_to_close(mut tcp: TcpStream) -> String {
    let mut answer = Vec::new();
    let mut buf = [0; 4_096];
    // A reset after a refusal ends the answer as a close does.
    while let Ok(n @ 1..) = tcp.read(&mut buf) {
        answer.extend_from_slice(&buf[..n]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// A chat request as bytes, for one answer on the connection.
pub fn chat(token: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nconnection: close\r\nauthorization: Bearer {token}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
