//! Stand-ins and drivers for the scripts in `review/6` and later. Standard library only.
//!
//! The platform's store, the servers and the clients are threads of this program; the entries
//! are processes of their own, started with the command of the deploy file. All addresses are
//! loopback addresses: each entry and each server has one of its own.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// `ContactMs` of the site file.
const CONTACT_MS: u64 = 3_000;
/// `HeartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Heartbeat intervals of silence after which the store drops a server's entry.
const LAPSE_INTERVALS: u32 = 3;

/// What happened, with the time since the start of the run.
#[derive(Clone)]
struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    fn open(path: &str) -> Self {
        let file = fs::File::create(path).unwrap_or_else(|err| give_up(&format!("{path}: {err}")));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn note(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends the run as one that could not take place.
fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2);
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1

#[derive(Clone, Debug, Default)]
struct Message {
    /// Request line or status line.
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message with a stated length or in chunks; `None` at the end of the connection.
fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.trim().to_string(), value.trim().to_string()));
        }
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"));
    if is_chunked {
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
    {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// How an exchange of a client ended.
#[derive(Clone, Debug)]
enum Outcome {
    Answered(u16),
    /// The connection ended without a complete answer.
    Broken,
    /// No answer came within the client's time.
    Silent,
}

/// A client's connection, kept open for several requests.
struct Connection {
    addr: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Connection {
    fn new(addr: SocketAddr) -> Self {
        Self { addr, stream: None }
    }

    fn send(&mut self, head: &str, body: &[u8], wait: Duration) -> Outcome {
        match self.exchange(head, body, wait) {
            Ok(Some(message)) => {
                if message
                    .header("connection")
                    .is_some_and(|value| value.contains("close"))
                {
                    self.stream = None;
                }
                Outcome::Answered(message.status())
            }
            Ok(None) => {
                self.stream = None;
                Outcome::Broken
            }
            Err(err) => {
                self.stream = None;
                match err.kind() {
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Outcome::Silent,
                    _ => Outcome::Broken,
                }
            }
        }
    }

    fn exchange(&mut self, head: &str, body: &[u8], wait: Duration) -> io::Result<Option<Message>> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.stream = Some(BufReader::new(stream));
        }
        let reader = self.stream.as_mut().unwrap();
        reader.get_ref().set_read_timeout(Some(wait))?;
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        reader.get_mut().write_all(&bytes)?;
        read_message(reader)
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Newest record of each key: its value and offset.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    /// Members with the time of their last join.
    members: BTreeMap<String, Instant>,
    topics: Vec<String>,
}

/// Path from one entry to the store.
#[derive(Default)]
struct Link {
    /// Whether the store turns this machine away with 503.
    is_busy: AtomicBool,
    /// Time that an answer takes, in ms; 4 where it is 0.
    answer_ms: AtomicU64,
}

/// Time that the store takes for an answer.
const ANSWER_MS: u64 = 4;
/// Bytes of records in the answer to a read that does not state `MaxKb`.
const MAX_READ_BYTES: usize = 1_024 * 1_024;

struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    group: Mutex<Group>,
    partitions: u32,
}

impl Store {
    fn start() -> Arc<Self> {
        Arc::new(Self {
            topics: Mutex::default(),
            changed: Condvar::new(),
            group: Mutex::default(),
            partitions: 12,
        })
    }

    /// Opens an address of the store for one entry.
    fn open(self: &Arc<Self>, addr: Ipv4Addr) -> (Arc<Link>, SocketAddr) {
        let listener = listen(addr);
        let bound = listener.local_addr().unwrap();
        let link = Arc::new(Link::default());
        let (store, shared) = (Arc::clone(self), Arc::clone(&link));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, link) = (Arc::clone(&store), Arc::clone(&shared));
                thread::spawn(move || store.serve(stream, &link));
            }
        });
        (link, bound)
    }

    fn serve(&self, stream: TcpStream, link: &Link) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = read_message(&mut reader) {
            let answer_ms = link.answer_ms.load(Ordering::SeqCst).max(ANSWER_MS);
            thread::sleep(Duration::from_millis(answer_ms));
            let mut bytes = Vec::new();
            if !link.is_busy.load(Ordering::SeqCst) {
                bytes = self.call(&req);
            }
            if link.is_busy.load(Ordering::SeqCst) {
                bytes = answer("503 Service Unavailable", &[], b"");
            }
            if reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn call(&self, req: &Message) -> Vec<u8> {
        let json = [("Content-Type", "application/json")];
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .into_iter()
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_string())
        };
        let topic = param("Topic").unwrap_or_default();
        match path {
            "/log-append" => {
                let records = split_records(&req.body);
                let mut topics = self.topics.lock().unwrap();
                let state = topics.entry(topic.clone()).or_default();
                let end = state.records.len() as u64;
                if let Some(at) = param("At").and_then(|at| at.parse::<u64>().ok()) {
                    if at != end {
                        let body = format!("{{\"End\":{end}}}");
                        return answer("412 Precondition Failed", &json, body.as_bytes());
                    }
                }
                for record in records {
                    append(state, &topic, record);
                }
                let new_end = state.records.len();
                drop(topics);
                self.changed.notify_all();
                let body = format!("{{\"Offset\":{end},\"End\":{new_end}}}");
                answer("200 OK", &json, body.as_bytes())
            }
            "/log-read" => {
                let from: u64 = param("From")
                    .and_then(|from| from.parse().ok())
                    .unwrap_or(0);
                let wait = param("WaitMs")
                    .and_then(|wait| wait.parse().ok())
                    .unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut topics = self.topics.lock().unwrap();
                loop {
                    let state = topics.entry(topic.clone()).or_default();
                    let end = state.records.len() as u64;
                    let left = until.saturating_duration_since(Instant::now());
                    if end > from || left.is_zero() {
                        let mut body = end.to_be_bytes().to_vec();
                        body.extend_from_slice(&0_u64.to_be_bytes());
                        for record in state.records.iter().skip(from as usize) {
                            if body.len() > 16 && body.len() + record.len() + 4 > MAX_READ_BYTES {
                                break;
                            }
                            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            body.extend_from_slice(record);
                        }
                        return answer("200 OK", &[], &body);
                    }
                    topics = self.changed.wait_timeout(topics, left).unwrap().0;
                }
            }
            "/log-newest" => {
                let mut topics = self.topics.lock().unwrap();
                let state = topics.entry(topic).or_default();
                let after = param("After").unwrap_or_default();
                let items: Vec<String> = state
                    .newest
                    .iter()
                    .filter(|(key, _)| **key > after)
                    .map(|(key, (value, offset))| {
                        let value = base64(value);
                        format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
                    })
                    .collect();
                let end = state.records.len();
                let body = format!(
                    "{{\"Items\":[{}],\"HasMore\":false,\"End\":{end}}}",
                    items.join(",")
                );
                answer("200 OK", &json, body.as_bytes())
            }
            "/log-join" => {
                let text = String::from_utf8_lossy(&req.body).to_string();
                let member = json_text(&text, "Member").unwrap_or_default();
                answer("200 OK", &json, self.join(&member, &text).as_bytes())
            }
            "/log-owners" => answer("200 OK", &json, self.owners().as_bytes()),
            _ => answer("404 Not Found", &json, b"{}"),
        }
    }

    fn join(&self, member: &str, text: &str) -> String {
        let mut group = self.group.lock().unwrap();
        if group.topics.is_empty() {
            let list = text
                .split("\"Topics\":[")
                .nth(1)
                .and_then(|rest| rest.split(']').next());
            let names = list.unwrap_or_default().split(',');
            group.topics = names
                .map(|name| name.trim_matches('"').to_string())
                .collect();
        }
        let now = Instant::now();
        let before: Vec<String> = group.members.keys().cloned().collect();
        group
            .members
            .retain(|_, at| now - *at < Duration::from_secs(3));
        group.members.insert(member.to_string(), now);
        let after: Vec<String> = group.members.keys().cloned().collect();
        if before != after {
            group.generation += 1;
        }
        let rows: Vec<String> = self
            .divide(&group)
            .into_iter()
            .filter(|(_, _, owner)| owner == member)
            .map(|(topic, part, _)| format!("[\"{topic}\",{part},0]"))
            .collect();
        format!(
            "{{\"Generation\":{},\"parts\":[{}]}}",
            group.generation,
            rows.join(",")
        )
    }

    fn divide(&self, group: &Group) -> Vec<(String, u32, String)> {
        let members: Vec<&String> = group.members.keys().collect();
        let mut rows = Vec::new();
        for topic in &group.topics {
            for part in 0..self.partitions {
                if let Some(owner) = members.get(rows.len() % members.len().max(1)) {
                    rows.push((topic.clone(), part, (*owner).clone()));
                }
            }
        }
        rows
    }

    fn owners(&self) -> String {
        let group = self.group.lock().unwrap();
        let rows: Vec<String> = self
            .divide(&group)
            .into_iter()
            .map(|(topic, part, owner)| format!("[\"{topic}\",{part},\"{owner}\",0]"))
            .collect();
        format!("{{\"parts\":[{}]}}", rows.join(","))
    }

    /// Writes as the operator or a server does. Without a value, the key is dropped.
    fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        append(topics.entry(topic.to_string()).or_default(), topic, record);
        drop(topics);
        self.changed.notify_all();
    }
}

fn append(state: &mut Topic, topic: &str, record: Vec<u8>) {
    let offset = state.records.len() as u64;
    if topic.starts_with("keyed.") && !record.is_empty() {
        let length = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=length]).to_string();
        let value = record[1 + length..].to_vec();
        if value.is_empty() {
            state.newest.remove(&key);
        } else {
            state.newest.insert(key, (value, offset));
        }
    }
    state.records.push(record);
}

fn split_records(body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    let mut at = 0;
    while at + 4 <= body.len() {
        let length = u32::from_be_bytes(body[at..at + 4].try_into().unwrap()) as usize;
        records.push(body[at + 4..at + 4 + length].to_vec());
        at += 4 + length;
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn json_text(text: &str, name: &str) -> Option<String> {
    let rest = text.split(&format!("\"{name}\":\"")).nth(1)?;
    rest.split('"').next().map(str::to_string)
}

fn listen(addr: Ipv4Addr) -> TcpListener {
    TcpListener::bind((addr, 0)).unwrap_or_else(|err| give_up(&format!("{addr}: {err}")))
}

// ---------------------------------------------------------------------------------------------
// Servers of a plain service

/// What a server saw of a request.
#[derive(Clone, Debug)]
struct Arrival {
    ms: u64,
    server: usize,
    id: String,
    target: String,
    ran: bool,
}

/// What a server does with a request that it is about to run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Act {
    Run,
    /// Crashes as it begins to run the request; the server is back after some seconds.
    Crash,
    /// Turns it away, and wants nothing from that caller for so many seconds.
    Pause(u64),
}

struct Fleet {
    record: Record,
    store: Arc<Store>,
    service: String,
    arrivals: Mutex<Vec<Arrival>>,
    /// Times of crashes, with the server.
    crashes: Mutex<Vec<(u64, usize)>>,
    /// Times at which a server has asked for a pause, with its seconds.
    pauses: Mutex<Vec<(u64, usize, u64)>>,
    /// Time for which a crashed server stays down.
    down: Duration,
    work: Duration,
    act: Box<dyn Fn(usize, &Message) -> Act + Send + Sync>,
    /// Servers that do not reach the store now.
    cut: Mutex<HashSet<usize>>,
    states: Mutex<Vec<ServerState>>,
    ids: AtomicU64,
}

#[derive(Clone)]
struct ServerState {
    addr: SocketAddr,
    /// Id of the incarnation that runs; `None` while the server is down.
    id: Option<String>,
    born: u64,
    sequence: u64,
    /// Keys in the store with the time of the last write.
    entries: HashMap<String, Instant>,
    connections: Vec<Arc<TcpStream>>,
}

impl Fleet {
    fn start(fleet: Self, addrs: &[Ipv4Addr]) -> Arc<Self> {
        let fleet = Arc::new(fleet);
        for (index, addr) in addrs.iter().enumerate() {
            let listener = listen(*addr);
            fleet.states.lock().unwrap().push(ServerState {
                addr: listener.local_addr().unwrap(),
                id: None,
                born: 0,
                sequence: 0,
                entries: HashMap::new(),
                connections: Vec::new(),
            });
            fleet.begin(index, listener);
        }
        let shared = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                shared.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        let shared = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                shared.drop_silent();
                thread::sleep(Duration::from_millis(100));
            }
        });
        fleet
    }

    /// Starts an incarnation of a server, with an id of its own.
    fn begin(self: &Arc<Self>, index: usize, listener: TcpListener) {
        let id = format!(
            "i-{:08x}",
            0x5a00_0000 + self.ids.fetch_add(1, Ordering::SeqCst)
        );
        {
            let mut states = self.states.lock().unwrap();
            let state = &mut states[index];
            state.id = Some(id.clone());
            state.born = unix_ms();
            state.sequence = 0;
        }
        self.report(index);
        self.record.note(&format!("server {index} starts as {id}"));
        let fleet = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let stream = Arc::new(stream);
                {
                    let mut states = fleet.states.lock().unwrap();
                    if states[index].id.as_deref() != Some(&id) {
                        return;
                    }
                    states[index].connections.push(Arc::clone(&stream));
                }
                let (fleet, id) = (Arc::clone(&fleet), id.clone());
                thread::spawn(move || fleet.serve(index, &id, &stream));
            }
        });
    }

    fn serve(self: &Arc<Self>, index: usize, id: &str, stream: &Arc<TcpStream>) {
        let _ = stream.set_nodelay(true);
        let Ok(own) = stream.try_clone() else { return };
        let mut reader = BufReader::new(own);
        while let Ok(Some(req)) = read_message(&mut reader) {
            if self.states.lock().unwrap()[index].id.as_deref() != Some(id) {
                return;
            }
            let bytes = self.handle(index, id, &req);
            let Some(bytes) = bytes else { return };
            if reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// Returns the answer; `None` if the server has crashed.
    fn handle(self: &Arc<Self>, index: usize, id: &str, req: &Message) -> Option<Vec<u8>> {
        let attempt = req.header("attempt-id").unwrap_or_default().to_string();
        let echo = ("Attempt-Id", attempt.as_str());
        if req.target() == "/health" {
            let headers = [("Instance-Id", id), ("Server-Load", "0,0,6")];
            return Some(answer("200 OK", &headers, b"ok"));
        }
        if req
            .header("expect-instance")
            .is_some_and(|expected| expected != id)
        {
            return Some(answer(
                "421 Misdirected Request",
                &[echo, ("Instance-Id", id)],
                b"",
            ));
        }
        let act = (self.act)(index, req);
        let ms = self.record.ms();
        self.arrivals.lock().unwrap().push(Arrival {
            ms,
            server: index,
            id: attempt.clone(),
            target: req.target().to_string(),
            ran: !matches!(act, Act::Pause(_)),
        });
        let verb = if matches!(act, Act::Pause(_)) {
            "gets"
        } else {
            "runs"
        };
        self.record
            .note(&format!("server {index} {verb} {attempt} {}", req.target()));
        match act {
            Act::Run => {
                thread::sleep(self.work);
                if self.states.lock().unwrap()[index].id.as_deref() != Some(id) {
                    return None;
                }
                let seal = format!("3e1b.{index:02}.5a2.600.0.c9f2a4d1");
                let headers = [
                    echo,
                    ("Server-Seal", seal.as_str()),
                    ("Server-Load", "1,0,6"),
                ];
                Some(answer("200 OK", &headers, &[b'x'; 800]))
            }
            Act::Pause(seconds) => {
                self.pauses.lock().unwrap().push((ms, index, seconds));
                self.record.note(&format!(
                    "server {index} turns {attempt} away, 503 with Retry-After: {seconds}"
                ));
                let after = seconds.to_string();
                let headers = [
                    echo,
                    ("Not-Executed", "1"),
                    ("Retry-After", after.as_str()),
                    ("Server-Load", "6,24,6"),
                ];
                Some(answer("503 Service Unavailable", &headers, b""))
            }
            Act::Crash => {
                self.record
                    .note(&format!("server {index} crashes under {attempt}"));
                self.crash(index, ms);
                None
            }
        }
    }

    /// Ends the incarnation with all its connections; the next one starts after some time, at
    /// the same address and with a new id.
    fn crash(self: &Arc<Self>, index: usize, ms: u64) {
        self.crashes.lock().unwrap().push((ms, index));
        let addr = self.end(index);
        let fleet = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(fleet.down);
            loop {
                match TcpListener::bind(addr) {
                    Ok(listener) => return fleet.begin(index, listener),
                    Err(_) => thread::sleep(Duration::from_millis(50)),
                }
            }
        });
    }

    /// Ends the incarnation of a server with all its connections.
    fn end(&self, index: usize) -> SocketAddr {
        let (addr, connections) = {
            let mut states = self.states.lock().unwrap();
            let state = &mut states[index];
            state.id = None;
            (state.addr, std::mem::take(&mut state.connections))
        };
        // Wakes the accepting thread, which then closes the listener.
        let _ = TcpStream::connect(addr);
        for connection in connections {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        addr
    }

    fn report(&self, index: usize) {
        if self.cut.lock().unwrap().contains(&index) {
            return;
        }
        let (key, value) = {
            let mut states = self.states.lock().unwrap();
            let state = &mut states[index];
            let Some(id) = state.id.clone() else { return };
            state.sequence += 1;
            state.entries.insert(id.clone(), Instant::now());
            let value = format!(
                "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\
                 \"Slots\":6,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":{},\"born\":{}}}",
                self.service, state.addr, state.sequence, state.born
            );
            (id, value)
        };
        self.store.put("keyed.servers", &key, &value);
    }

    fn beat(&self) {
        let count = self.states.lock().unwrap().len();
        for index in 0..count {
            self.report(index);
        }
    }

    /// Removes the entries of servers that have been silent for three heartbeat intervals.
    fn drop_silent(&self) {
        let mut gone = Vec::new();
        for (index, state) in self.states.lock().unwrap().iter_mut().enumerate() {
            state.entries.retain(|key, at| {
                let keep = at.elapsed() < HEARTBEAT * LAPSE_INTERVALS;
                if !keep {
                    gone.push((index, key.clone()));
                }
                keep
            });
        }
        for (index, key) in gone {
            self.record.note(&format!(
                "the entry of server {index} ({key}) is removed, it was silent"
            ));
            self.store.put("keyed.servers", &key, "");
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Entries

struct Entries {
    children: Vec<Child>,
    fronts: Vec<SocketAddr>,
    readies: Vec<SocketAddr>,
}

impl Entries {
    /// Starts the processes, and waits until all of them are ready.
    fn start(net: &Net, count: usize, stores: &[SocketAddr], folder: &PathBuf) -> Self {
        let mut entries = Self {
            children: Vec::new(),
            fronts: Vec::new(),
            readies: Vec::new(),
        };
        for i in 0..count {
            let ip = net.entry(i);
            let store = stores[i];
            let [front, ready, control] = free_ports(ip);
            if TcpListener::bind((ip, 9464)).is_err() {
                give_up("the port for metrics is in use");
            }
            let path = folder.join(format!("settings-{i}.toml"));
            let text = format!(
                r#"NodeName = "edge-{i}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{ip}"
Zone = "zone-a"
Region = "region-a"
InternalPorts = [7340,7355]
Seeds = []
Bootstrap = true
InFaultBudget = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","rollout"]
[Zones]
zone-a = "region-a"
[ListenAddrs]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
[Limits]
CpuShare = 0.19
Cores = 1
MemoryMb = 260
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[ContractParams]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
StrictRevoke = true
RevokeMs = 5000
BudgetRatio = 0.9
BudgetWindowS = 10
BudgetExtra = 52
ExposeShare = 0.15
ExposureSlack = 30
RollbackMs = 5000
ColdOver = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoverS = 12
PassMs = 120
RetryAfterS = 8.1
SessionS = 5
[Platform]
Address = "{store}"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 12
AppendMs = 2.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
"#
            );
            fs::write(&path, text).unwrap_or_else(|err| give_up(&err.to_string()));
            let log = fs::File::create(folder.join(format!("entry-{i}.log"))).unwrap();
            let errors = log.try_clone().unwrap();
            let child = Command::new("target/release/quetzalworksd")
                .args(["--metrics-port", "9464"])
                .env("QUETZALWORKS_BOOT", &path)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(errors)
                .spawn()
                .unwrap_or_else(|err| give_up(&format!("quetzalworksd: {err}")));
            println!("{}", child.id());
            entries.children.push(child);
            entries.fronts.push(SocketAddr::new(ip.into(), front));
            entries.readies.push(SocketAddr::new(ip.into(), ready));
        }
        let until = Instant::now() + Duration::from_secs(15);
        for ready in entries.readies.clone() {
            loop {
                let head = format!("GET /ready HTTP/1.1\r\nHost: {ready}\r\n");
                let wait = Duration::from_millis(500);
                if let Outcome::Answered(200) = Connection::new(ready).send(&head, b"", wait) {
                    break;
                }
                if Instant::now() > until {
                    entries.stop();
                    give_up("an entry does not become ready");
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        entries
    }

    fn stop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children.clear();
    }
}

impl Drop for Entries {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Returns three ports that are free at this address, each another one.
fn free_ports(ip: Ipv4Addr) -> [u16; 3] {
    let listeners = [listen(ip), listen(ip), listen(ip)];
    listeners.map(|listener| listener.local_addr().unwrap().port())
}

/// Loopback addresses of one run.
struct Net {
    a: u8,
    b: u8,
    /// Keeps other runs from the same addresses.
    _lock: TcpListener,
}

impl Net {
    /// Port by which a run holds its addresses.
    const LOCK_PORT: u16 = 9463;

    fn new() -> Self {
        for attempt in 0..200_u32 {
            let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            let seed =
                std::process::id().wrapping_mul(2_654_435_761) ^ time.subsec_nanos() ^ attempt;
            let (a, b) = (16 + (seed % 200) as u8, (seed / 200 % 250) as u8);
            let lock = TcpListener::bind((Ipv4Addr::new(127, a, b, 1), Self::LOCK_PORT));
            if let Ok(lock) = lock {
                return Self { a, b, _lock: lock };
            }
        }
        give_up("no free loopback addresses")
    }

    fn store(&self) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, 2)
    }

    fn entry(&self, i: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, 10 + i as u8)
    }

    fn servers(&self, count: usize) -> Vec<Ipv4Addr> {
        (0..count)
            .map(|i| Ipv4Addr::new(127, self.a, self.b, 100 + i as u8))
            .collect()
    }
}

// ---------------------------------------------------------------------------------------------
// Operator and clients

const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A second key of the same tenant.
const OTHER_KEY: &str = "anfqasnmgkcuyj8pjbvk";

/// The configuration: one plain service, a route for holds and one for look-ups, and `idle`
/// routes without requests.
fn config(
    version: u32,
    lookup_attempts: u32,
    idle: usize,
    timeout_ms: u32,
    keys: &[&str],
) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"wuno96b\",\
             \"MaxAttempts\":{attempts},\"AllowAnonymous\":false,\"Sticky\":false,\"StreamResume\":false}}"
        )
    };
    let mut routes = vec![
        route("r-hold", "/puxa403/", "non_idempotent", 1),
        route("r-look", "/cufi504/", "idempotent", lookup_attempts),
    ];
    for i in 0..idle {
        routes.push(route(
            &format!("r-idle{i:04}"),
            &format!("/idle{i:04}/"),
            "idempotent",
            2,
        ));
    }
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"wuno96b\",\
         \"HealthPath\":\"/health\",\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false,\
         \"WarmupS\":0.0,\"WarmupPerS\":0.0}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[{}],\"Priority\":1}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

struct Clients {
    record: Record,
    fronts: Vec<SocketAddr>,
    next: AtomicU64,
    /// Ordinary requests sent, served, refused as not run, and ended otherwise.
    sent: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
    lost: AtomicUsize,
    stopped: AtomicBool,
}

impl Clients {
    fn new(record: &Record, fronts: &[SocketAddr]) -> Arc<Self> {
        Arc::new(Self {
            record: record.clone(),
            fronts: fronts.to_vec(),
            next: AtomicU64::new(unix_ms() << 16),
            sent: AtomicUsize::new(0),
            served: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
            lost: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        })
    }

    fn id(&self) -> String {
        format!("{:016x}", self.next.fetch_add(1, Ordering::SeqCst))
    }

    fn head(method: &str, target: &str, id: &str) -> String {
        Self::head_with(KEY, method, target, id)
    }

    fn head_with(key: &str, method: &str, target: &str, id: &str) -> String {
        format!(
            "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2500\r\nKey: {key}\r\n"
        )
    }

    /// Sends ordinary requests through one entry, one after the other.
    fn run_ordinary(self: &Arc<Self>, entry: usize, pause: Duration) {
        let clients = Arc::clone(self);
        thread::spawn(move || {
            let mut connection = Connection::new(clients.fronts[entry]);
            let mut number = 0_u64;
            while !clients.stopped.load(Ordering::SeqCst) {
                number += 1;
                let id = clients.id();
                let (method, target) = if number % 2 == 0 {
                    ("GET", format!("/cufi504/item{entry}-{number}"))
                } else {
                    ("POST", format!("/puxa403/hold{entry}-{number}"))
                };
                let body = if method == "POST" {
                    vec![b'o'; 600]
                } else {
                    Vec::new()
                };
                clients.sent.fetch_add(1, Ordering::SeqCst);
                let head = Self::head(method, &target, &id);
                let outcome = connection.send(&head, &body, Duration::from_millis(2_500));
                clients.record.note(&format!(
                    "{id} {method} {target} at entry {entry}: {outcome:?}"
                ));
                match outcome {
                    Outcome::Answered(200) => clients.served.fetch_add(1, Ordering::SeqCst),
                    Outcome::Answered(429 | 503) => clients.refused.fetch_add(1, Ordering::SeqCst),
                    _ => clients.lost.fetch_add(1, Ordering::SeqCst),
                };
                thread::sleep(pause);
            }
        });
    }

    fn summary(&self) -> String {
        let count = |number: &AtomicUsize| number.load(Ordering::SeqCst);
        format!(
            "ordinary requests: {} sent, {} served, {} refused as not run, {} ended otherwise",
            count(&self.sent),
            count(&self.served),
            count(&self.refused),
            count(&self.lost)
        )
    }
}

// ---------------------------------------------------------------------------------------------
// Cases

struct Setup {
    _net: Net,
    record: Record,
    fleet: Arc<Fleet>,
    entries: Entries,
    clients: Arc<Clients>,
    links: Vec<Arc<Link>>,
}

fn set_up(
    folder: &PathBuf,
    record: &Record,
    entries: usize,
    servers: usize,
    lookup_attempts: u32,
    act: impl Fn(usize, &Message) -> Act + Send + Sync + 'static,
) -> Setup {
    let net = Net::new();
    let store = Store::start();
    let (links, store_addrs): (Vec<_>, Vec<_>) =
        (0..entries).map(|_| store.open(net.store())).unzip();
    store.put(
        "keyed.op",
        "config",
        &config(7, lookup_attempts, 0, 1_200, &[KEY, OTHER_KEY]),
    );
    let fleet = Fleet {
        record: record.clone(),
        store,
        service: "wuno96b".into(),
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
        pauses: Mutex::default(),
        down: Duration::from_millis(2_000),
        work: Duration::from_millis(30),
        act: Box::new(act),
        cut: Mutex::default(),
        states: Mutex::default(),
        ids: AtomicU64::new(0),
    };
    let fleet = Fleet::start(fleet, &net.servers(servers));
    let entries = Entries::start(&net, entries, &store_addrs, folder);
    let clients = Clients::new(record, &entries.fronts);
    record.note(&format!("{} entries are ready", entries.fronts.len()));
    // Every rule counts machines that have been in touch for `ContactMs`.
    thread::sleep(Duration::from_millis(CONTACT_MS + 500));
    Setup {
        _net: net,
        record: record.clone(),
        fleet,
        entries,
        clients,
        links,
    }
}

/// A request that crashes each server that begins to run it, sent again and again.
struct Poison {
    method: &'static str,
    target: &'static str,
    body: &'static [u8],
}

impl Poison {
    /// Sends the request once, as one client attempt with an id of its own.
    fn send(&self, setup: &Setup, connection: &mut Connection, entry: usize) -> Visit {
        let id = setup.clients.id();
        let ms = setup.record.ms();
        let head = Clients::head(self.method, self.target, &id);
        let outcome = connection.send(&head, self.body, Duration::from_millis(2_500));
        setup.record.note(&format!(
            "the request comes to entry {entry} as {id}: {outcome:?}"
        ));
        Visit { ms, id }
    }
}

struct Visit {
    ms: u64,
    id: String,
}

/// Counts the client attempts that reached a server, sent later than `ContactMs` after the
/// third crash.
fn judge_poison(setup: &Setup, visits: &[Visit]) -> usize {
    let crashes = setup.fleet.crashes.lock().unwrap().clone();
    let arrivals = setup.fleet.arrivals.lock().unwrap().clone();
    let record = &setup.record;
    record.note(&format!(
        "{} crashes, {}",
        crashes.len(),
        setup.clients.summary()
    ));
    let Some((third, _)) = crashes.get(2).copied() else {
        record.note("fewer than three servers have crashed");
        return 0;
    };
    let reached: HashSet<&str> = arrivals
        .iter()
        .filter(|arrival| arrival.ran)
        .map(|arrival| arrival.id.as_str())
        .collect();
    let late: Vec<&Visit> = visits
        .iter()
        .filter(|visit| visit.ms > third + CONTACT_MS && reached.contains(visit.id.as_str()))
        .collect();
    for visit in &late {
        record.note(&format!(
            "sent {} ms after the third crash, and run: {}",
            visit.ms - third,
            visit.id
        ));
    }
    late.len()
}

fn verdict(record: &Record, count: usize, limit: usize, what: &str) -> ExitCode {
    let is_broken = count > limit;
    let text = format!(
        "{}: {count} {what}, {limit} allowed",
        if is_broken {
            "the rule is broken"
        } else {
            "the rule holds"
        }
    );
    record.note(&text);
    eprintln!("{text}");
    ExitCode::from(u8::from(is_broken))
}

fn is_poison(req: &Message) -> bool {
    req.target().ends_with("/poison")
}

/// The entry that has seen the crashes gets no more of the request and forgets it after 30 s;
/// the other entry, which refuses it all the while, is told to forget it too.
fn forgotten(folder: &PathBuf, record: &Record, trouble: bool) -> ExitCode {
    let act = move |_: usize, req: &Message| {
        if trouble && is_poison(req) {
            Act::Crash
        } else {
            Act::Run
        }
    };
    let setup = set_up(folder, record, 2, 10, 2, act);
    for entry in 0..2 {
        for _ in 0..6 {
            setup.clients.run_ordinary(entry, Duration::from_millis(30));
        }
    }
    let poison = Poison {
        method: "POST",
        target: "/puxa403/poison",
        body: b"one carpet for two galas",
    };
    let mut visits = Vec::new();
    // One client, which keeps its connection to one entry and reaches the other one later.
    let legs = [(0, 9_u64), (1, 37), (0, 37)];
    for (entry, seconds) in legs {
        let mut connection = Connection::new(setup.entries.fronts[entry]);
        let until = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < until {
            visits.push(poison.send(&setup, &mut connection, entry));
            thread::sleep(Duration::from_millis(2_000));
        }
    }
    setup.clients.stopped.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    let late = judge_poison(&setup, &visits);
    check_ordinary(&setup);
    verdict(record, late, 3, "retries reached servers")
}

/// Each entry sees one crash and tells the others of none.
fn untold(folder: &PathBuf, record: &Record, trouble: bool) -> ExitCode {
    let act = move |_: usize, req: &Message| {
        if trouble && is_poison(req) {
            Act::Crash
        } else {
            Act::Run
        }
    };
    let setup = set_up(folder, record, 8, 10, 1, act);
    for entry in 0..8 {
        for _ in 0..2 {
            setup.clients.run_ordinary(entry, Duration::from_millis(50));
        }
    }
    let poison = Poison {
        method: "GET",
        target: "/cufi504/poison",
        body: b"",
    };
    let mut visits = Vec::new();
    for visit in 0..12 {
        let entry = visit % 8;
        let mut connection = Connection::new(setup.entries.fronts[entry]);
        visits.push(poison.send(&setup, &mut connection, entry));
        thread::sleep(Duration::from_millis(3_300));
    }
    setup.clients.stopped.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    let late = judge_poison(&setup, &visits);
    check_ordinary(&setup);
    verdict(record, late, 3, "retries reached servers")
}

/// A server turns one request away, and wants nothing for a time.
fn paused(folder: &PathBuf, record: &Record, trouble: bool, seconds: u64, cut_s: u64) -> ExitCode {
    let asked = Arc::new(AtomicBool::new(!trouble));
    let shared = Arc::clone(&asked);
    let is_open = Arc::new(AtomicBool::new(false));
    let open = Arc::clone(&is_open);
    let act = move |server: usize, _: &Message| {
        let is_first = server == 0 && open.load(Ordering::SeqCst);
        if is_first && !shared.swap(true, Ordering::SeqCst) {
            Act::Pause(seconds)
        } else {
            Act::Run
        }
    };
    let setup = set_up(folder, record, 1, 3, 2, act);
    for _ in 0..6 {
        setup.clients.run_ordinary(0, Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(2));
    is_open.store(true, Ordering::SeqCst);
    let began = Instant::now();
    while setup.fleet.pauses.lock().unwrap().is_empty() && began.elapsed() < Duration::from_secs(5)
    {
        thread::sleep(Duration::from_millis(10));
    }
    if cut_s > 0 {
        if trouble {
            record.note("server 0 does not reach the store");
            setup.fleet.cut.lock().unwrap().insert(0);
        }
        thread::sleep(Duration::from_secs(cut_s));
        setup.fleet.cut.lock().unwrap().remove(&0);
        record.note("server 0 reaches the store");
    }
    thread::sleep(Duration::from_secs(seconds.saturating_sub(cut_s) + 1));
    setup.clients.stopped.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    record.note(&setup.clients.summary());
    let pauses = setup.fleet.pauses.lock().unwrap().clone();
    if trouble && pauses.len() != 1 {
        give_up("the server has not asked for a pause");
    }
    let (from, until) = pauses
        .first()
        .map_or((0, 0), |(ms, _, s)| (ms + 500, ms + s * 1_000));
    let arrivals = setup.fleet.arrivals.lock().unwrap().clone();
    let within: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.server == 0 && arrival.ms > from && arrival.ms < until)
        .collect();
    for arrival in within.iter().take(10) {
        let after = arrival.ms - (from - 500);
        record.note(&format!(
            "reached server 0 {after} ms after its 503: {} {}",
            arrival.id, arrival.target
        ));
    }
    check_ordinary(&setup);
    verdict(
        record,
        within.len(),
        2,
        "requests reached the server in the pause",
    )
}

/// An entry is turned away by the store while the operator sends several configurations and then
/// takes a key away. When it is served again, its first read does not reach the last of them.
fn stale_key(folder: &PathBuf, record: &Record, trouble: bool) -> ExitCode {
    /// `RevokeMs` of the settings, with `StrictRevoke`.
    const REVOKE_MS: u64 = 5_000;
    /// Routes of the configuration beside those with requests; about 135 kB.
    const IDLE_ROUTES: usize = 500;
    let setup = set_up(folder, record, 2, 4, 2, |_, _| Act::Run);
    let store = Arc::clone(&setup.fleet.store);
    let publish = |version: u32, timeout_ms: u32, keys: &[&str]| {
        let text = config(version, 2, IDLE_ROUTES, timeout_ms, keys);
        store.put("keyed.op", "config", &text);
        record.note(&format!(
            "configuration {version} is acknowledged, {} bytes",
            text.len()
        ));
    };
    publish(10, 1_200, &[KEY, OTHER_KEY]);
    for entry in 0..2 {
        for _ in 0..3 {
            setup
                .clients
                .run_ordinary(entry, Duration::from_millis(150));
        }
    }
    // Clients that go on to use the other key.
    let used: Arc<Mutex<Vec<Visit>>> = Arc::default();
    for entry in [0, 0, 0, 0, 1] {
        let (clients, used) = (Arc::clone(&setup.clients), Arc::clone(&used));
        thread::spawn(move || {
            let mut connection = Connection::new(clients.fronts[entry]);
            while !clients.stopped.load(Ordering::SeqCst) {
                let id = clients.id();
                let ms = clients.record.ms();
                let head = Clients::head_with(OTHER_KEY, "POST", "/puxa403/other", &id);
                let outcome = connection.send(&head, &[b'k'; 600], Duration::from_millis(2_500));
                clients.record.note(&format!(
                    "{id} with {OTHER_KEY} at entry {entry}: {outcome:?}"
                ));
                if matches!(outcome, Outcome::Answered(200)) {
                    used.lock().unwrap().push(Visit { ms, id });
                }
                thread::sleep(Duration::from_millis(100));
            }
        });
    }
    thread::sleep(Duration::from_secs(3));
    let link = &setup.links[0];
    let began = Instant::now();
    if trouble {
        link.is_busy.store(true, Ordering::SeqCst);
        record.note("the store turns entry 0 away with 503");
    }
    let storm = Duration::from_millis(330);
    for i in 0..9 {
        thread::sleep(storm);
        publish(13 + 3 * i, 1_200 + 10 * (i + 1), &[KEY, OTHER_KEY]);
    }
    thread::sleep(storm);
    publish(41, 1_290, &[KEY]);
    let acked = record.ms();
    record.note(&format!("the key {OTHER_KEY} is taken away"));
    thread::sleep(Duration::from_secs(9).saturating_sub(began.elapsed()));
    if trouble {
        link.answer_ms.store(ANSWER_MS * 50, Ordering::SeqCst);
        link.is_busy.store(false, Ordering::SeqCst);
        record.note("the store serves entry 0 again, slowly");
    }
    thread::sleep(Duration::from_millis(4_500));
    link.answer_ms.store(0, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));
    setup.clients.stopped.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    record.note(&setup.clients.summary());
    let used = used.lock().unwrap();
    let ran: HashSet<String> = setup
        .fleet
        .arrivals
        .lock()
        .unwrap()
        .iter()
        .map(|arrival| arrival.id.clone())
        .collect();
    let late: Vec<&Visit> = used
        .iter()
        .filter(|visit| visit.ms > acked + REVOKE_MS && ran.contains(&visit.id))
        .collect();
    for visit in late.iter().take(20) {
        let after = visit.ms - acked;
        record.note(&format!(
            "sent {after} ms after the key was taken away, and run: {}",
            visit.id
        ));
    }
    verdict(
        record,
        late.len(),
        0,
        "requests with the key that was taken away were run",
    )
}

/// The run tells nothing if ordinary requests are not served.
fn check_ordinary(setup: &Setup) {
    let sent = setup.clients.sent.load(Ordering::SeqCst);
    let served = setup.clients.served.load(Ordering::SeqCst);
    if served * 2 < sent {
        give_up("most ordinary requests are not served");
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = &args[..] else {
        give_up("usage: harness CASE FOLDER RECORD")
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let record = Record::open(record);
    match case.as_str() {
        "forgotten" => forgotten(&folder, &record, trouble),
        "untold" => untold(&folder, &record, trouble),
        "long-pause" => paused(&folder, &record, trouble, 45, 0),
        "stale-key" => stale_key(&folder, &record, trouble),
        "lapsed-pause" => paused(&folder, &record, trouble, 20, 6),
        _ => give_up("unknown case"),
    }
}
