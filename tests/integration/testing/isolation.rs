//! Addresses and folders that no other test uses, and starting of processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};

/// First port to try. It lies below the ephemeral ports, which outgoing
/// connections take, and above the ports of system services: one that listened
/// on port 2024 on all addresses made clusters of more than 23 addresses fail.
const FIRST_PORT: u16 = 20_000;

/// Next number for a port or a folder of this process.
static NEXT_NUMBER: AtomicU16 = AtomicU16::new(0);

/// Held while an address is probed and while a process is started.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Starts a process, never while an address is probed: between fork and exec, the
/// child holds copies of all sockets, and a copy of the probing socket would
/// keep its address in use.
pub fn spawn(command: &mut Command) -> Child {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().unwrap()
}

/// Returns a free address that only this test process uses: the runner gives each
/// test a process, and the loopback address is derived from the process id. Skips
/// ports on which another program listens on all addresses.
pub fn free_addr() -> SocketAddr {
    // The last byte of a loopback address is 1 to 254. The ids that end in 0 and
    // 255 share an address with another id, so they get other ports.
    let [_, high, mid, low] = std::process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, 64 + high % 64, mid, low.clamp(1, 254)));
    let first = FIRST_PORT + u16::from(low == 0 || low == 255) * 10_000;
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let n = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let addr = SocketAddr::new(ip, first + n);
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Creates a new folder for this test in Cargo's folder for test files.
pub fn create_test_dir() -> PathBuf {
    let n = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let dir =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{n}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}
