//! Test double of an endpoint, which follows a script of correct and faulty behaviour.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::soak::backend::RandomBehaviour;
use crate::testing::isolation;

/// Treatment of one request by the endpoint.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Answers with this status and body.
    Answer(u16, &'static str),
    /// Like `Answer`, after a pause.
    Slow(Duration, &'static str),
    /// Answers with the request's id, after a pause.
    Echo(Duration),
    /// Behaves as drawn at random for the request.
    Random(RandomBehaviour),
    /// Refuses with the mark that the request was not executed.
    NotRun,
    /// Refuses without the mark, so the request may have been executed.
    Busy,
    /// Closes the connection after it has read the request.
    Close,
    /// Reads the request and never answers.
    Silent,
    /// Sends less of the body than stated, and closes the connection.
    Truncated,
    /// Answers with the id of another request.
    Crossed,
    /// Answers, and says that it leaves.
    Leaves(&'static str),
    /// Refuses with the mark that the request was not executed, and asks for a pause of so
    /// many seconds.
    Pause(&'static str),
    /// Runs the request, but sends the refusal of an earlier one again, with this status.
    StaleNotRun(u16),
    /// Answers without a signature.
    Unsigned,
    /// Sends two answers to one request.
    Twice,
    /// Sends events up to this id, and closes the connection in the middle of the next.
    Cut(u64),
    /// Sends events up to this id, with this confidence of the model in percent, and closes
    /// the connection between two events.
    DoubtfulCut(u64, &'static str),
    /// Sends events up to this id, and then nothing more.
    Stall(u64),
    /// Sends this text once and then the other one again and again, until the connection
    /// is closed.
    Endless(&'static str, &'static str),
    /// Sends this text and then so many bytes, and nothing more.
    EndlessSlow(&'static str, usize),
    /// Sends events up to this id, and then this text every 100 ms.
    Trickle(u64, &'static str),
    /// Sends all events, with this confidence of the model in percent.
    Events(&'static str),
    /// Like `Events`, and names this limit for all entries in requests per second.
    Limited(&'static str),
    /// Like `Events`, with a pause before each event but the first.
    PacedEvents(Duration, &'static str),
    /// Sends all events, with one pause after that with this id.
    PausedEvents(u64, Duration),
    /// Sends this text, with the id of the request for `{id}`, and closes the connection.
    Raw(&'static str),
    /// Like `Events`, after a pause.
    LateEvents(Duration),
}

/// Number of events of a complete stream.
pub const EVENTS: u64 = 6;

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Received {
    /// When its head and body had arrived.
    pub at: Instant,
    /// Id of the endpoint that received it.
    pub endpoint: &'static str,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the endpoint executed the request, or may seem to have.
    pub executed: bool,
}

impl Received {
    /// Returns path and query of the request.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

#[derive(Debug, Default)]
struct State {
    received: Vec<Received>,
    /// Number of connections that the router closed before the answer was complete.
    abandoned_answers: usize,
    /// Bytes sent by `Endless`.
    endless_bytes: usize,
}

/// A running endpoint; clones share its state.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub id: &'static str,
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Behaviours to follow, in reverse order; may be shared by several endpoints.
    script: Script,
    fallback: Behaviour,
}

/// Behaviours to follow, in reverse order.
pub type Script = Arc<Mutex<Vec<Behaviour>>>;

impl Endpoint {
    /// Starts an endpoint that follows `script`, then `fallback`.
    pub fn spawn(id: &'static str, script: &[Behaviour], fallback: Behaviour) -> Self {
        let script = script.iter().rev().cloned().collect();
        Self::shared(id, &Arc::new(Mutex::new(script)), fallback)
    }

    /// Creates an endpoint without a listener, for an address that the test controls
    /// itself.
    pub fn at(id: &'static str, addr: SocketAddr) -> Self {
        Self {
            id,
            addr,
            state: Arc::default(),
            script: Arc::default(),
            fallback: Behaviour::Silent,
        }
    }

    /// Like `spawn`, with a script that several endpoints consume together.
    pub fn shared(id: &'static str, script: &Script, fallback: Behaviour) -> Self {
        let addr = isolation::free_addr();
        let listener = TcpListener::bind(addr).unwrap();
        let endpoint = Self {
            script: Arc::clone(script),
            fallback,
            ..Self::at(id, addr)
        };
        let serving = endpoint.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let endpoint = serving.clone();
                thread::spawn(move || endpoint.serve(&tcp));
            }
        });
        endpoint
    }

    /// Returns the requests that have arrived so far.
    pub fn received(&self) -> Vec<Received> {
        self.state.lock().unwrap().received.clone()
    }

    /// Returns the number of answers that the router abandoned.
    pub fn abandoned_answers(&self) -> usize {
        self.state.lock().unwrap().abandoned_answers
    }

    /// Returns the number of bytes that `Endless` has sent.
    pub fn endless_bytes(&self) -> usize {
        self.state.lock().unwrap().endless_bytes
    }

    fn serve(&self, tcp: &TcpStream) {
        let mut reader = BufReader::new(tcp.try_clone().unwrap());
        while let Some(mut received) = read(&mut reader) {
            if received.path() == "/report" {
                if !self.send_status(tcp) {
                    return;
                }
                continue;
            }
            let next = self.script.lock().unwrap().pop();
            let mut behaviour = next.unwrap_or_else(|| self.fallback.clone());
            let mut state = self.state.lock().unwrap();
            if let Behaviour::Random(draw) = &behaviour {
                behaviour = draw.behaviour(&received, state.received.len());
            }
            received.endpoint = self.id;
            received.executed = !matches!(behaviour, Behaviour::NotRun | Behaviour::Pause(_));
            state.received.push(received.clone());
            drop(state);
            if !self.send_answer(tcp, &received, &behaviour) {
                let _ = tcp.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Sends the answer. Returns whether the connection stays open.
    fn send_answer(&self, mut tcp: &TcpStream, req: &Received, behaviour: &Behaviour) -> bool {
        let id = req.header("attempt-id").unwrap_or_default().to_owned();
        let head = |status: u16, id: &str, rest: &str| {
            format!("HTTP/1.1 {status} Status\r\nAttempt-Id: {id}\r\nServer-Load: 1,0,4\r\n{rest}")
        };
        let seal = format!("Server-Seal: {}\r\n", self.id);
        let complete_answer = |status: u16, id: &str, seal: &str, body: &str| {
            let length = format!("{seal}Content-Length: {}\r\n\r\n{body}", body.len());
            head(status, id, &length)
        };
        let mut send = |text: &str| tcp.write_all(text.as_bytes()).is_ok();
        match behaviour {
            Behaviour::Answer(status, body) => send(&complete_answer(*status, &id, &seal, body)),
            Behaviour::Slow(pause, body) => {
                thread::sleep(*pause);
                send(&complete_answer(200, &id, &seal, body))
            }
            Behaviour::Echo(pause) => {
                thread::sleep(*pause);
                send(&complete_answer(200, &id, &seal, &format!("ran {id}")))
            }
            Behaviour::Random(_) => unreachable!("drawn before"),
            Behaviour::NotRun => send(&complete_answer(503, &id, "Not-Executed: 1\r\n", "")),
            Behaviour::Busy => send(&complete_answer(503, &id, &seal, "busy")),
            Behaviour::Close => false,
            Behaviour::Silent => {
                self.wait_for_disconnect(tcp);
                false
            }
            Behaviour::Truncated => {
                let rest = format!("{seal}Content-Length: 100\r\n\r\nhalf");
                send(&head(200, &id, &rest));
                false
            }
            Behaviour::Crossed => send(&complete_answer(200, "another", &seal, "of another")),
            Behaviour::Leaves(body) => {
                let rest = format!("{seal}Server-Leaving: 1\r\n");
                send(&complete_answer(200, &id, &rest, body))
            }
            Behaviour::Pause(seconds) => {
                let rest = format!("Not-Executed: 1\r\nRetry-After: {seconds}\r\n");
                send(&complete_answer(503, &id, &rest, ""))
            }
            Behaviour::StaleNotRun(status) => send(&complete_answer(
                *status,
                "another",
                "Not-Executed: 1\r\n",
                "",
            )),
            Behaviour::Unsigned => send(&complete_answer(200, &id, "", "unsigned")),
            Behaviour::Twice => {
                let answer = complete_answer(200, &id, &seal, "once");
                send(&format!("{answer}{answer}"))
            }
            Behaviour::DoubtfulCut(..) | Behaviour::Cut(_) | Behaviour::Stall(_) => {
                self.send_part_of_stream(tcp, req, behaviour);
                false
            }
            Behaviour::Endless(first, rest) => {
                send(&first.replace("{id}", &id));
                self.send_endless(tcp, rest);
                false
            }
            Behaviour::EndlessSlow(first, bytes) => {
                send(&first.replace("{id}", &id));
                self.send_bytes(tcp, *bytes);
                false
            }
            Behaviour::Raw(text) => {
                send(&text.replace("{id}", &id));
                false
            }
            Behaviour::Trickle(last, text) => {
                self.send_events(tcp, req, "90", *last);
                while write_chunk(tcp, text).is_ok() {
                    thread::sleep(Duration::from_millis(100));
                }
                self.state.lock().unwrap().abandoned_answers += 1;
                false
            }
            Behaviour::LateEvents(pause) => {
                thread::sleep(*pause);
                self.send_answer(tcp, req, &Behaviour::Events("90"))
            }
            Behaviour::Events(confidence) => {
                self.send_complete(tcp, req, confidence, Duration::ZERO)
            }
            Behaviour::Limited(rate) => {
                let headers = format!("90\r\nServer-Limit: {rate}");
                self.send_complete(tcp, req, &headers, Duration::ZERO)
            }
            Behaviour::PacedEvents(pause, text) => self.send_complete(tcp, req, text, *pause),
            Behaviour::PausedEvents(last, pause) => self.send_with_pause(tcp, req, *last, *pause),
        }
    }

    /// Sends the first events of a stream that ends too early or stalls.
    fn send_part_of_stream(&self, tcp: &TcpStream, req: &Received, behaviour: &Behaviour) {
        match behaviour {
            Behaviour::DoubtfulCut(last, confidence) => {
                self.send_events(tcp, req, confidence, *last);
            }
            Behaviour::Cut(last) => {
                self.send_events(tcp, req, "90", *last);
                // Half of the event that would come next.
                let _ = write_chunk(tcp, &format!("id: {}\ndata: ha", last + 1));
            }
            Behaviour::Stall(last) => {
                self.send_events(tcp, req, "90", *last);
                self.wait_for_disconnect(tcp);
            }
            _ => unreachable!("sends a whole answer"),
        }
    }

    /// Sends all events, with a pause between them. Returns that the connection stays open.
    fn send_complete(
        &self,
        mut tcp: &TcpStream,
        req: &Received,
        confidence: &str,
        pause: Duration,
    ) -> bool {
        self.send_paced(tcp, req, confidence, EVENTS, pause);
        let _ = tcp.write_all(b"0\r\n\r\n");
        true
    }

    /// Sends so many bytes, then waits for the end of the connection.
    fn send_bytes(&self, mut tcp: &TcpStream, bytes: usize) {
        let _ = tcp.write_all(&vec![b'a'; bytes]);
        self.wait_for_disconnect(tcp);
    }

    fn send_endless(&self, mut tcp: &TcpStream, text: &str) {
        let block = text.repeat(16 * 1_024 / text.len());
        while tcp.write_all(block.as_bytes()).is_ok() {
            self.state.lock().unwrap().endless_bytes += block.len();
        }
        self.state.lock().unwrap().abandoned_answers += 1;
    }

    /// Answers a probe of a busy engine; one that is silent by default hangs.
    fn send_status(&self, mut tcp: &TcpStream) -> bool {
        if matches!(self.fallback, Behaviour::Silent) {
            self.wait_for_disconnect(tcp);
            return false;
        }
        let body = r#"{"Queued":1,"Running":1}"#;
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        tcp.write_all(answer.as_bytes()).is_ok()
    }

    fn send_events(&self, tcp: &TcpStream, req: &Received, confidence: &str, last: u64) {
        self.send_paced(tcp, req, confidence, last, Duration::ZERO);
    }

    fn send_paced(
        &self,
        mut tcp: &TcpStream,
        req: &Received,
        confidence: &str,
        last: u64,
        pause: Duration,
    ) {
        let id = req.header("attempt-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: {}\r\nConfidence: {confidence}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let _ = tcp.write_all(head.as_bytes());
        let from: u64 = req
            .header("last-event-id")
            .map_or(0, |event| event.parse().unwrap());
        for event in from + 1..=last {
            if event > from + 1 {
                thread::sleep(pause);
            }
            send_event(tcp, req, event);
        }
    }

    /// Sends all events, with a pause after `last`. Returns that the connection stays open.
    fn send_with_pause(
        &self,
        mut tcp: &TcpStream,
        req: &Received,
        last: u64,
        pause: Duration,
    ) -> bool {
        self.send_events(tcp, req, "90", last);
        thread::sleep(pause);
        for event in last + 1..=EVENTS {
            send_event(tcp, req, event);
        }
        let _ = tcp.write_all(b"0\r\n\r\n");
        true
    }

    fn wait_for_disconnect(&self, mut tcp: &TcpStream) {
        let mut buf = [0; 16];
        if matches!(tcp.read(&mut buf), Ok(0) | Err(_)) {
            self.state.lock().unwrap().abandoned_answers += 1;
        }
    }
}

fn send_event(tcp: &TcpStream, req: &Received, event: u64) {
    let model = req.header("model").unwrap_or_default();
    let _ = write_chunk(tcp, &format!("id: {event}\ndata: {event} {model}\n\n"));
}

fn write_chunk(mut tcp: &TcpStream, text: &str) -> std::io::Result<()> {
    tcp.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// Reads the next request; `None` once the connection is closed.
fn read(reader: &mut BufReader<TcpStream>) -> Option<Received> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head.push_str(&line);
    }
    let mut received = Received {
        at: Instant::now(),
        endpoint: "",
        head,
        body: Vec::new(),
        executed: false,
    };
    let length = received
        .header("content-length")
        .and_then(|length| length.parse().ok());
    received.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut received.body).ok()?;
    received.at = Instant::now();
    Some(received)
}
