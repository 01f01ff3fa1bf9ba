//! Fault-injecting proxy for TCP.

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

/// Bytes read at a time.
const CHUNK: usize = 16 * 1_024;
/// Chunks on their way in one direction; more wait in the kernel's buffers.
const IN_FLIGHT: usize = 256;

/// A running proxy; dropping it stops accepting and closes its connections.
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
    /// Listens on `listen` and passes connections on to `target`.
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

    /// The address on which the proxy listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the faults.
    pub fn set(&self, faults: faults::Faults) {
        self.link.set(faults);
    }

    /// Closes all open connections.
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

async fn relay(client: TcpStream, target: SocketAddr, link: faults::Link) -> io::Result<()> {
    link.open(faults::Direction::ToTarget).await;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let up = pump(
        client.clone(),
        server.clone(),
        &link,
        faults::Direction::ToTarget,
    );
    let down = pump(server, client, &link, faults::Direction::ToClient);
    smol::future::try_zip(up, down).await?;
    Ok(())
}

async fn pump(
    from: TcpStream,
    to: TcpStream,
    link: &faults::Link,
    direction: faults::Direction,
) -> io::Result<()> {
    let (tx, rx) = channel::bounded(IN_FLIGHT);
    let reading = read(from, tx, link, direction);
    let writing = write(to, rx, link, direction);
    smol::future::try_zip(reading, writing).await?;
    Ok(())
}

async fn read(
    mut from: TcpStream,
    tx: Sender<(Instant, Vec<u8>)>,
    link: &faults::Link,
    direction: faults::Direction,
) -> io::Result<()> {
    loop {
        let mut buf = vec![0; CHUNK];
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

async fn write(
    mut to: TcpStream,
    rx: Receiver<(Instant, Vec<u8>)>,
    link: &faults::Link,
    direction: faults::Direction,
) -> io::Result<()> {
    while let Ok((due, chunk)) = rx.recv().await {
        if due > Instant::now() {
            Timer::at(due).await;
        }
        link.open(direction).await;
        to.write_all(&chunk).await?;
    }
    link.open(direction).await;
    to.shutdown(Shutdown::Write)
}
