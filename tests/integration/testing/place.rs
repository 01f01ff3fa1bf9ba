//! Addresses and folders that no other test uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};

/// Below the ephemeral ports, so that no outgoing connection takes one, and
/// above the ports of system services: one that listened on 2024 on all
/// addresses made each cluster of more than 23 addresses fail to start.
const FIRST_PORT: u16 = 20_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Held while an address is tried out and while a process is started.
static SPAWNING: Mutex<()> = Mutex::new(());

/// Starts a process. Until it runs its own program it has copies of all
/// sockets of this one; a copy of one that tries an address out would keep the
/// address in use.
pub fn spawn(command: &mut Command) -> Child {
    let _held = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().unwrap()
}

/// An address of this test process alone: the runner gives each test a
/// process, and the loopback address is made from its id. Ports on which
/// another program listens on all addresses are left out.
pub fn addr() -> SocketAddr {
    // A loopback address ends in 1 to 254; the other two get other ports.
    let [_, high, mid, low] = std::process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, 64 + high % 64, mid, low.clamp(1, 254)));
    let first = FIRST_PORT + u16::from(low == 0 || low == 255) * 10_000;
    let _held = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let addr = SocketAddr::new(ip, first + n);
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// A new folder of this test.
pub fn dir() -> PathBuf {
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{n}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}
