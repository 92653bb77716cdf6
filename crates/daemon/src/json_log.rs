//! Log lines as JSON.
//!
//! `simplelog` formats text lines only. This sink takes the library's place as the writer of lines
//! and plugs into its `CombinedLogger`; levels and the combination stay the library's.

use bulrushlink_core::{Code, DaemonId, Error};
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Map, json};
use simplelog::{CombinedLogger, Config, SharedLogger};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// Targets whose lines obey the level of the settings; the libraries' lines are kept from `warn` on.
const OWN_TARGETS: &str = "bulrushlink";

/// Writes each record as one JSON line to stderr.
struct JsonLog {
    level: LevelFilter,
    daemon: DaemonId,
}

/// Sends the log lines of the process to stderr.
///
/// # Errors
///
/// [`Code::SettingsInvalid`] when the level is unknown.
pub(crate) fn open(level: &str, daemon: &DaemonId) -> Result<(), Error> {
    let level: LevelFilter =
        level.parse().map_err(|_| Error::at(Code::SettingsInvalid, "/log", "unknown level"))?;
    let sink = Box::new(JsonLog { level, daemon: daemon.clone() });
    CombinedLogger::init(vec![sink])
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
        if self.enabled(record.metadata()) {
            let line = line(record, &self.daemon);
            // There is nowhere to tell that stderr is gone.
            let _ = writeln!(std::io::stderr().lock(), "{line}");
        }
    }

    fn flush(&self) {}
}

struct Ids(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Ids {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}

fn line(record: &Record<'_>, daemon: &DaemonId) -> serde_json::Value {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut ids = Ids(Map::new());
    ids.0.insert("daemon".to_string(), json!(daemon));
    if record.key_values().visit(&mut ids).is_err() {
        ids.0.insert("ids".to_string(), json!("unreadable"));
    }
    let mut fields = ids.0;
    fields.insert("wall_ms".to_string(), json!(wall.as_millis() as u64));
    fields.insert("level".to_string(), json!(record.level().as_str()));
    fields.insert("target".to_string(), json!(record.target()));
    fields.insert("message".to_string(), json!(record.args().to_string()));
    serde_json::Value::Object(fields)
}
