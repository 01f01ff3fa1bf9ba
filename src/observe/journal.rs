//! The log of a process: JSON lines on standard output, written by a thread of its own.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use env_logger::{Builder, Env, Target};
use log::kv::{self, VisitSource};
use serde_json::{Map, Value};

use crate::observe;
use crate::runtime;

/// Maximum rate of log lines; lines above it are dropped and counted.
const MAX_LINES_PER_S: u32 = 400;
/// Maximum size of the lines that wait for the writer; lines beyond it are dropped
/// and counted, so that a stalled reader neither uses up memory nor delays a request.
const MAX_BUFFERED_BYTES: usize = 512 * 1_024;
/// Delay before a write, so that many lines are written at once.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Maximum time that the end of the process waits for the last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

static SHARED: OnceLock<Arc<Shared>> = OnceLock::new();

/// Waits until all lines are written, up to a time limit in case the reader has stalled.
pub fn flush_journal() {
    let Some(shared) = SHARED.get() else { return };
    let guard = lock(&shared.buffer);
    let is_pending = |buffer: &mut Buffer| buffer.is_writing || !buffer.bytes.is_empty();
    drop(
        shared
            .written
            .wait_timeout_while(guard, FLUSH_TIMEOUT, is_pending),
    );
}

/// Installs the logger. The level is taken from `RUST_LOG`; the default is `info`.
pub fn install_journal() {
    let sink = Sink::spawn(io::stdout());
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(sink)))
        .write_style(env_logger::WriteStyle::Never)
        .format(|buf, record| {
            serde_json::to_writer(&mut *buf, &line(record)).map_err(io::Error::from)?;
            buf.write_all(b"\n")
        })
        .init();
}

/// Converts a log record with its key-value pairs to a JSON object.
fn line(record: &log::Record<'_>) -> Map<String, Value> {
    let mut object = Map::new();
    let since = runtime::since_epoch();
    object.insert("ts".into(), Value::from(since.as_secs_f64()));
    object.insert("level".into(), record.level().as_str().into());
    object.insert("part".into(), record.target().into());
    object.insert("msg".into(), record.args().to_string().into());
    if let Err(err) = record.key_values().visit(&mut Fields(&mut object)) {
        object.insert("log_error".into(), err.to_string().into());
    }
    object
}

struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            match value.to_string() {
                // The library formats a missing value as `None`.
                text if text == "None" => return Ok(()),
                text => text.into(),
            }
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Lines that wait for the writer, and the state of the rate limit.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Start of the current window of the rate limit, which lasts 1 s.
    window_start: Option<Instant>,
    /// Lines in the current window, dropped ones included.
    lines: u32,
    /// Lines dropped since the last batch.
    dropped: u64,
    is_writing: bool,
}

/// State that the sink and the writer thread share.
#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    filled: Condvar,
    written: Condvar,
}

/// Buffers lines without waiting for output; the writer thread writes them.
#[derive(Debug)]
struct Sink {
    shared: Arc<Shared>,
}

impl Sink {
    fn spawn(out: impl Write + Send + 'static) -> Self {
        let shared: Arc<Shared> = Arc::default();
        let writer_shared = Arc::clone(&shared);
        let writer = thread::Builder::new()
            .name("journal".into())
            .spawn(move || run_writer(&writer_shared, out));
        if let Err(err) = writer {
            // A failure of the log cannot be logged.
            eprintln!("journal: cannot start the log writer thread: {err}");
        }
        SHARED.get_or_init(|| Arc::clone(&shared));
        Self { shared }
    }
}

fn lock(buffer: &Mutex<Buffer>) -> MutexGuard<'_, Buffer> {
    buffer.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run_writer(shared: &Shared, mut out: impl Write) {
    loop {
        let guard = lock(&shared.buffer);
        let guard = shared
            .filled
            .wait_while(guard, |buffer| buffer.bytes.is_empty())
            .unwrap_or_else(PoisonError::into_inner);
        drop(guard);
        thread::sleep(BATCH_DELAY);
        let (bytes, dropped) = {
            let mut buffer = lock(&shared.buffer);
            buffer.is_writing = true;
            let dropped = std::mem::take(&mut buffer.dropped);
            (std::mem::take(&mut buffer.bytes), dropped)
        };
        if let Err(err) = write_batch(&mut out, &bytes, dropped) {
            // A failure of the log cannot be logged.
            eprintln!("journal: cannot write log lines: {err}");
        }
        lock(&shared.buffer).is_writing = false;
        shared.written.notify_all();
    }
}

fn write_batch(out: &mut impl Write, bytes: &[u8], dropped: u64) -> io::Result<()> {
    out.write_all(bytes)?;
    if dropped > 0 {
        observe::metrics().record_log_dropped(dropped);
        let line = serde_json::json!({
            "ts": runtime::since_epoch().as_secs_f64(), "level": "WARN", "part": "journal",
            "msg": "lines dropped", "dropped": dropped,
        });
        writeln!(out, "{line}")?;
    }
    out.flush()
}

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = lock(&self.shared.buffer);
        let now = Instant::now();
        if state
            .window_start
            .is_none_or(|began| now.saturating_duration_since(began).as_secs() >= 1)
        {
            state.window_start = Some(now);
            state.lines = 0;
        }
        state.lines += 1;
        if state.lines > MAX_LINES_PER_S || state.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            state.dropped += 1;
        } else {
            let was_empty = state.bytes.is_empty();
            state.bytes.extend_from_slice(line);
            if was_empty {
                self.shared.filled.notify_one();
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
