//! TCP proxy that injects faults into a link.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Instant;

use smol::channel::{self, Receiver, Sender};
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};

use crate::http;
use crate::runtime;
use crate::standin::faults;

/// Buffer size of one read.
const CHUNK_BYTES: usize = 16 * 1_024;
/// Maximum of chunks in flight per direction; further bytes stay in the kernel's buffers.
const MAX_IN_FLIGHT_CHUNKS: usize = 256;

/// A running TCP proxy; dropping it stops accepting and closes its connections.
#[derive(Debug)]
pub struct TcpProxy {
    addr: SocketAddr,
    link: faults::Link,
    connections: http::Connections,
    _accept: Task<()>,
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.connections.sever();
    }
}

impl TcpProxy {
    /// Listens on `listen` and forwards each connection to `target`.
    pub async fn bind(
        listen: SocketAddr,
        target: SocketAddr,
        traffic: &runtime::Traffic,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let link = faults::Link::default();
        let connections = http::Connections::default();
        let acceptor = Acceptor {
            listener,
            target,
            link: link.clone(),
            connections: connections.clone(),
            traffic: traffic.clone(),
        };
        Ok(Self {
            addr,
            link,
            connections,
            _accept: traffic.spawn(acceptor.run()),
        })
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults, also for open connections.
    pub fn set(&self, faults: faults::Faults) {
        self.link.set(faults);
    }

    /// Closes all open connections; new ones are accepted.
    pub fn reset(&self) {
        self.connections.sever();
    }
}

struct Acceptor {
    listener: TcpListener,
    target: SocketAddr,
    link: faults::Link,
    connections: http::Connections,
    traffic: runtime::Traffic,
}

impl Acceptor {
    async fn run(self) {
        while let Ok((client, _)) = self.listener.accept().await {
            let severed = self.connections.severed();
            let (target, link) = (self.target, self.link.clone());
            let task = async move {
                if let Err(err) = relay(client, target, link).await {
                    log::debug!("standin: proxy connection ended: {err}");
                }
            };
            self.traffic.spawn(task.or(severed)).detach();
        }
    }
}

/// Forwards both directions of a connection until both are closed or one fails.
async fn relay(client: TcpStream, target: SocketAddr, link: faults::Link) -> io::Result<()> {
    link.wait_uncut(faults::Direction::ToTarget).await;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let up = forward(
        client.clone(),
        server.clone(),
        &link,
        faults::Direction::ToTarget,
    );
    let down = forward(server, client, &link, faults::Direction::ToClient);
    smol::future::try_zip(up, down).await?;
    Ok(())
}

/// Forwards one direction. Reading and writing run concurrently, so that delayed
/// chunks don't hold up later reads.
async fn forward(
    from: TcpStream,
    to: TcpStream,
    link: &faults::Link,
    direction: faults::Direction,
) -> io::Result<()> {
    let (tx, rx) = channel::bounded(MAX_IN_FLIGHT_CHUNKS);
    let reading = read_chunks(from, tx, link, direction);
    let writing = write_chunks(to, rx, link, direction);
    smol::future::try_zip(reading, writing).await?;
    Ok(())
}

/// Reads chunks and stamps each with the time at which it is due for writing.
async fn read_chunks(
    mut from: TcpStream,
    tx: Sender<(Instant, Vec<u8>)>,
    link: &faults::Link,
    direction: faults::Direction,
) -> io::Result<()> {
    loop {
        let mut buf = vec![0; CHUNK_BYTES];
        let len = from.read(&mut buf).await?;
        if len == 0 {
            return Ok(());
        }
        let faults = link.faults();
        if faults.drop_response && direction == faults::Direction::ToClient {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        buf.truncate(len);
        let due = Instant::now() + faults.delay;
        if tx.send((due, buf)).await.is_err() {
            return Ok(());
        }
    }
}

/// Writes each chunk when it is due and the direction is not cut.
async fn write_chunks(
    mut to: TcpStream,
    rx: Receiver<(Instant, Vec<u8>)>,
    link: &faults::Link,
    direction: faults::Direction,
) -> io::Result<()> {
    while let Ok((due, chunk)) = rx.recv().await {
        if due > Instant::now() {
            Timer::at(due).await;
        }
        link.wait_uncut(direction).await;
        to.write_all(&chunk).await?;
    }
    link.wait_uncut(direction).await;
    to.shutdown(Shutdown::Write)
}
