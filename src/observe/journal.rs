//! The log of a process: JSON lines on standard output.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use env_logger::{Builder, Env, Target};
use log::kv::{self, VisitSource};
use serde_json::{Map, Value};

use crate::observe;
use crate::runtime;

/// Lines a second that are written; more are counted and dropped.
const LINES_PER_S: u32 = 400;
/// Bytes that may wait for the writer; more are counted and dropped. A reader
/// that does not read must cost no memory and hold no request up.
const MAX_WAITING: usize = 512 * 1_024;
/// Pause before a write, so that lines are written many at a time.
const BATCH: Duration = Duration::from_millis(100);

/// Longest wait for the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

static SHARED: OnceLock<Arc<Shared>> = OnceLock::new();

/// Waits until all lines are written, but not for a reader that does not read.
pub fn flush_journal() {
    let Some(shared) = SHARED.get() else { return };
    let guard = lock(&shared.waiting);
    let unwritten = |waiting: &mut Waiting| waiting.is_writing || !waiting.bytes.is_empty();
    drop(
        shared
            .written
            .wait_timeout_while(guard, FLUSH_TIMEOUT, unwritten),
    );
}

/// Installs the log. The level comes from `RUST_LOG`, else it is `info`.
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

/// A record as a JSON object.
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
        } else if let Some(truth) = value.to_bool() {
            truth.into()
        } else {
            match value.to_string() {
                // How the library writes a missing value.
                text if text == "None" => return Ok(()),
                text => text.into(),
            }
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    second: Option<Instant>,
    lines: u32,
    dropped: u64,
    is_writing: bool,
}

/// What the sink and the writing thread share.
#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    filled: Condvar,
    written: Condvar,
}

/// Takes lines without blocking; a thread of its own writes them.
#[derive(Debug)]
struct Sink {
    shared: Arc<Shared>,
}

impl Sink {
    fn spawn(out: impl Write + Send + 'static) -> Self {
        let shared: Arc<Shared> = Arc::default();
        let waiting = Arc::clone(&shared);
        let writer = thread::Builder::new()
            .name("journal".into())
            .spawn(move || write_all(&waiting, out));
        if let Err(err) = writer {
            // The log cannot tell of its own failure.
            eprintln!("journal: no thread for the log: {err}");
        }
        SHARED.get_or_init(|| Arc::clone(&shared));
        Self { shared }
    }
}

fn lock(waiting: &Mutex<Waiting>) -> MutexGuard<'_, Waiting> {
    waiting.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write_all(shared: &Shared, mut out: impl Write) {
    loop {
        let guard = lock(&shared.waiting);
        let guard = shared
            .filled
            .wait_while(guard, |waiting| waiting.bytes.is_empty())
            .unwrap_or_else(PoisonError::into_inner);
        drop(guard);
        thread::sleep(BATCH);
        let (bytes, dropped) = {
            let mut waiting = lock(&shared.waiting);
            waiting.is_writing = true;
            let dropped = std::mem::take(&mut waiting.dropped);
            (std::mem::take(&mut waiting.bytes), dropped)
        };
        if let Err(err) = write_batch(&mut out, &bytes, dropped) {
            // The log cannot tell of its own failure.
            eprintln!("journal: the log cannot be written: {err}");
        }
        lock(&shared.waiting).is_writing = false;
        shared.written.notify_all();
    }
}

fn write_batch(out: &mut impl Write, bytes: &[u8], dropped: u64) -> io::Result<()> {
    out.write_all(bytes)?;
    if dropped > 0 {
        observe::metrics().log_dropped(dropped);
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
        let mut state = lock(&self.shared.waiting);
        let now = Instant::now();
        if state
            .second
            .is_none_or(|began| now.saturating_duration_since(began).as_secs() >= 1)
        {
            state.second = Some(now);
            state.lines = 0;
        }
        state.lines += 1;
        if state.lines > LINES_PER_S || state.bytes.len() + line.len() > MAX_WAITING {
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
