//! A client of a crowd, which sends a script of bytes and keeps its connection open.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Pause between the pieces that a crowd sends, and between attempts to go on with a piece.
const PAUSE: Duration = Duration::from_millis(10);
/// Consecutive attempts without progress after which a client sends nothing more.
const MAX_ATTEMPTS: usize = 20;

/// What each client of a crowd sends, piece by piece. It never reads.
#[derive(Clone, Debug)]
pub struct Script {
    pub pieces: Vec<Vec<u8>>,
}

impl Script {
    /// Sends everything at once.
    pub fn whole(head: &str, body: &[u8]) -> Self {
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        Self {
            pieces: vec![bytes],
        }
    }

    /// Sends the head, and then the body in pieces of `size` bytes.
    pub fn in_pieces(head: &str, body: &[u8], size: usize) -> Self {
        let mut pieces = vec![head.as_bytes().to_vec()];
        pieces.extend(body.chunks(size).map(<[u8]>::to_vec));
        Self { pieces }
    }
}

/// Connections of a crowd, which stay open until they are dropped.
#[derive(Debug)]
pub struct Crowd {
    clients: Vec<Client>,
}

#[derive(Debug)]
struct Client {
    tcp: TcpStream,
    /// Number of bytes of the current piece that were sent; `None` once the server has closed
    /// the connection or takes no more.
    sent: Option<usize>,
    attempts: usize,
}

impl Crowd {
    /// Connects `count` clients, each of which sends the script.
    pub fn connect(addr: SocketAddr, count: usize, script: &Script) -> Self {
        let clients = (0..count).filter_map(|_| Client::connect(addr));
        let mut crowd = Self {
            clients: clients.collect(),
        };
        for piece in &script.pieces {
            crowd.send(piece);
            thread::sleep(PAUSE);
        }
        crowd
    }

    /// Sends one piece on all connections, side by side.
    fn send(&mut self, piece: &[u8]) {
        for client in &mut self.clients {
            client.sent = client.sent.map(|_| 0);
            client.attempts = 0;
        }
        loop {
            let mut is_done = true;
            for client in &mut self.clients {
                is_done &= client.advance(piece);
            }
            if is_done {
                return;
            }
            thread::sleep(PAUSE);
        }
    }
}

impl Client {
    /// Returns `None` if the server does not accept the connection.
    fn connect(addr: SocketAddr) -> Option<Self> {
        let tcp = TcpStream::connect(addr).ok()?;
        tcp.set_nonblocking(true).ok()?;
        Some(Self {
            tcp,
            sent: Some(0),
            attempts: 0,
        })
    }

    /// Sends what the server takes of the piece; returns whether the client is done with it.
    fn advance(&mut self, piece: &[u8]) -> bool {
        while let Some(sent) = self.sent {
            if sent == piece.len() {
                return true;
            }
            match self.tcp.write(&piece[sent..]) {
                Ok(n) => {
                    self.sent = Some(sent + n);
                    self.attempts = 0;
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock && self.attempts < MAX_ATTEMPTS => {
                    self.attempts += 1;
                    return false;
                }
                Err(_) => self.sent = None,
            }
        }
        true
    }
}

/// Returns `count` chunks of a chunked body, of `size` bytes each.
pub fn chunks(size: usize, count: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(count)
}
