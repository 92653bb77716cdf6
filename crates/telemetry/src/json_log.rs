//! Logger that writes each record as one JSON line.
//!
//! `simplelog` can only format text lines. [`JsonLog`] replaces its writers and plugs into its
//! `CombinedLogger`, which still handles levels and the combination of loggers.

use bulrushlink_core::{Code, DaemonId, Error};
use log::kv::{Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::{Map, json};
use simplelog::{CombinedLogger, Config, SharedLogger};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::budget::Budget;
use crate::repeats::Repeats;

/// Prefix of the log targets that use the configured level; other crates are limited
/// to `warn` and more severe levels.
const OWN_TARGETS: &str = "bulrushlink";

/// Largest line in bytes: writes to a pipe of up to this size are atomic.
const LINE_MAX_BYTES: usize = 4_096;

/// Destination of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sink {
    /// Standard error: every line, with blocking writes.
    Stderr,
    /// Standard output: rate-limited, with non-blocking writes; dropped lines are counted. The same error
    /// is written once in ten seconds.
    Stdout,
}

/// Logger that writes records as JSON lines to a sink.
struct JsonLog {
    level: LevelFilter,
    daemon: DaemonId,
    sink: Sink,
    origin: Instant,
    limits: Mutex<Limits>,
}

/// What limits the lines on standard output.
#[derive(Debug, Default)]
struct Limits {
    budget: Budget,
    repeats: Repeats,
}

/// Installs the global logger of the process, and a panic hook that logs panics.
///
/// # Errors
///
/// [`Code::SettingsInvalid`] if the level is unknown or the logger can't be installed.
pub fn open_log(level: &str, daemon: &DaemonId, sink: Sink) -> Result<(), Error> {
    let level: LevelFilter =
        level.parse().map_err(|_| Error::at(Code::SettingsInvalid, "/log", "unknown level"))?;
    if sink == Sink::Stdout {
        let stdout = std::io::stdout();
        let flags = rustix::fs::fcntl_getfl(&stdout)
            .and_then(|f| rustix::fs::fcntl_setfl(&stdout, f | rustix::fs::OFlags::NONBLOCK));
        flags.map_err(|e| Error::new(Code::SettingsInvalid, format!("stdout: {e}")))?;
    }
    let (daemon, origin, limits) = (daemon.clone(), Instant::now(), Mutex::default());
    let log = Box::new(JsonLog { level, daemon, sink, origin, limits });
    CombinedLogger::init(vec![log])
        .map_err(|e| Error::new(Code::SettingsInvalid, format!("the log can't be opened: {e}")))?;
    std::panic::set_hook(Box::new(|panic| log::error!("{panic}")));
    Ok(())
}

impl SharedLogger for JsonLog {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        Box::new(*self)
    }
}

impl Log for JsonLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let own = metadata.target().starts_with(OWN_TARGETS);
        let level = if own { self.level } else { self.level.min(LevelFilter::Warn) };
        metadata.level() <= level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        match self.sink {
            Sink::Stderr => {
                let line = format_line(record, &self.daemon, 0);
                // A failure to write to stderr can't be reported anywhere.
                let _ = writeln!(std::io::stderr().lock(), "{line}");
            }
            Sink::Stdout => self.write_bounded(record),
        }
    }

    fn flush(&self) {}
}

impl JsonLog {
    /// Writes a line, or drops it if the rate limit is exceeded or the reader is too slow.
    fn write_bounded(&self, record: &Record<'_>) {
        // A thread that panicked while holding the lock leaves at worst an inexact count.
        let mut limits = self.limits.lock().unwrap_or_else(|e| e.into_inner());
        let Limits { budget, repeats } = &mut *limits;
        let now_ms = self.origin.elapsed().as_millis() as u64;
        if record.level() == Level::Error && repeats.is_repeated(hash_of(record), now_ms) {
            return;
        }
        let Some(dropped) = budget.take(now_ms) else { return };
        let mut line = format_line(record, &self.daemon, dropped).to_string();
        if line.len() >= LINE_MAX_BYTES {
            budget.drop_line(dropped);
            return;
        }
        line.push('\n');
        // Bypasses the buffer of `std`, which would block or split a line.
        if rustix::io::write(std::io::stdout(), line.as_bytes()).is_err() {
            budget.drop_line(dropped);
        }
    }
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}

/// Returns the hash of what a record says, without its time.
fn hash_of(record: &Record<'_>) -> u64 {
    let mut fields = Fields(Map::new());
    // Fields that can't be read are left out, as in the line itself.
    let _ = record.key_values().visit(&mut fields);
    let mut hasher = DefaultHasher::new();
    let fields = serde_json::Value::Object(fields.0).to_string();
    (record.target(), record.args().to_string(), fields).hash(&mut hasher);
    hasher.finish()
}

fn format_line(record: &Record<'_>, daemon: &DaemonId, dropped: u64) -> serde_json::Value {
    // A clock before 1970 is logged as 0.
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(Map::new());
    fields.0.insert("daemon".to_string(), json!(daemon));
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("ids".to_string(), json!("unreadable"));
    }
    let mut fields = fields.0;
    if dropped > 0 {
        fields.insert("dropped_lines".to_string(), json!(dropped));
    }
    fields.insert("wall_ms".to_string(), json!(wall.as_millis() as u64));
    fields.insert("level".to_string(), json!(record.level().as_str()));
    fields.insert("target".to_string(), json!(record.target()));
    fields.insert("message".to_string(), json!(record.args().to_string()));
    serde_json::Value::Object(fields)
}
