//! Idle time of callers' connections.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::direct::world::config;

/// Configured idle time. Callers reuse a connection within four fifths of it.
const IDLE: Duration = Duration::from_secs(2);
/// Allowance for a busy machine and for the interval at which the limit is applied.
const SLACK: Duration = Duration::from_secs(2);

fn send_request(tcp: &mut TcpStream, id: &str) -> String {
    let head = format!(
        "GET /look/a HTTP/1.1\r\nhost: example.test\r\nattempt-id: {id}\r\nkey: key-red\r\n\r\n"
    );
    tcp.write_all(head.as_bytes()).unwrap();
    let mut buf = [0; 4_096];
    let read = tcp.read(&mut buf).unwrap();
    String::from_utf8_lossy(&buf[..read]).into_owned()
}

/// Guards against closing a connection that its caller may still use, and against one
/// that stays open beyond the configured idle time.
#[test]
fn idle_connections_close_after_the_configured_time() {
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
    let mut config = config(1);
    config["Limits"]["IdleTimeoutMs"] = json!(u64::try_from(IDLE.as_millis()).unwrap());
    let site = Site::with_config(&[("desk", &desk)], &config);
    // The limit applies to connections accepted after it became known.
    thread::sleep(SLACK);
    let mut tcp = TcpStream::connect(site.callers).unwrap();
    tcp.set_read_timeout(Some(Duration::from_mins(1))).unwrap();
    assert!(send_request(&mut tcp, "id-1").starts_with("HTTP/1.1 200"));
    thread::sleep(IDLE * 4 / 5);
    assert!(send_request(&mut tcp, "id-2").starts_with("HTTP/1.1 200"));
    let idle = Instant::now();
    let end = tcp.read(&mut [0; 64]);
    assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
    let kept = idle.elapsed();
    assert!((IDLE * 4 / 5..IDLE + SLACK).contains(&kept), "{kept:?}");
}
