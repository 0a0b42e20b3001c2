//! Logger that writes one line per event and counts repeated events.

use std::io::Write;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use log::Level;
use log::Log;
use log::Metadata;
use log::Record;
use serde_json::Map;
use serde_json::Value;

use crate::logs::LogFormat;

/// Time after an event was written within which identical events are counted, not written.
const REPEAT_WINDOW: Duration = Duration::from_secs(10);

/// Logger that writes events to one output.
pub(crate) struct EventLog {
    format: LogFormat,
    state: Mutex<LogState>,
}

struct LogState {
    output: Box<dyn Write + Send>,
    last: Option<LastEvent>,
}

/// Last event that was written, with the number of its repetitions since.
struct LastEvent {
    line: EventLine,
    written_at: Instant,
    repeats: u64,
}

/// Content of a log line without its time.
#[derive(Clone, PartialEq)]
struct EventLine {
    level: Level,
    module: String,
    message: String,
}

impl EventLog {
    /// Creates a logger that writes to `output`.
    pub(crate) fn new(format: LogFormat, output: Box<dyn Write + Send>) -> Self {
        Self { format, state: Mutex::new(LogState { output, last: None }) }
    }
}

impl Log for EventLog {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = EventLine {
            level: record.level(),
            module: record.target().to_owned(),
            message: record.args().to_string(),
        };
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.is_repeat(&line) {
            return;
        }
        state.write_repeats(self.format);
        state.write(&line.text(self.format));
        state.last = Some(LastEvent { line, written_at: Instant::now(), repeats: 0 });
    }

    fn flush(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.write_repeats(self.format);
        // A failure to write the log cannot be reported anywhere.
        let _ = state.output.flush();
    }
}

impl LogState {
    /// Returns whether an event repeats the last one, and counts it if so.
    fn is_repeat(&mut self, line: &EventLine) -> bool {
        let Some(last) = &mut self.last else { return false };
        let is_repeat = last.line == *line && last.written_at.elapsed() < REPEAT_WINDOW;
        last.repeats += u64::from(is_repeat);
        is_repeat
    }

    /// Writes the number of repetitions of the last event, if there are any.
    fn write_repeats(&mut self, format: LogFormat) {
        let Some(last) = &mut self.last else { return };
        if last.repeats == 0 {
            return;
        }
        let mut line = last.line.clone();
        line.message = format!("{} repeats={}", line.message, std::mem::take(&mut last.repeats));
        self.write(&line.text(format));
    }

    fn write(&mut self, text: &str) {
        let _ = writeln!(self.output, "{text}");
    }
}

impl EventLine {
    fn text(&self, format: LogFormat) -> String {
        let time = humantime::format_rfc3339_millis(SystemTime::now());
        let level = self.level.as_str().to_ascii_lowercase();
        let (module, message) = (&self.module, &self.message);
        if format == LogFormat::Text {
            return format!("time={time} level={level} module={module} {message}");
        }
        let mut fields = Map::new();
        fields.insert("time".to_owned(), time.to_string().into());
        fields.insert("level".to_owned(), level.into());
        fields.insert("module".to_owned(), module.clone().into());
        match event_fields(message) {
            Some(found) => fields.extend(found),
            None => drop(fields.insert("message".to_owned(), message.clone().into())),
        }
        Value::Object(fields).to_string()
    }
}

/// Returns the fields of a message that consists of key=value pairs only, with quoted values
/// unquoted.
fn event_fields(message: &str) -> Option<Map<String, Value>> {
    let mut fields = Map::new();
    let mut rest = message.trim();
    while !rest.is_empty() {
        let (key, value) = rest.split_once('=')?;
        if key.is_empty() || key.contains(char::is_whitespace) {
            return None;
        }
        let (text, remainder) = if value.starts_with('"') {
            let mut quoted = serde_json::Deserializer::from_str(value).into_iter::<String>();
            let text = quoted.next()?.ok()?;
            (text, &value[quoted.byte_offset()..])
        } else {
            let end = value.find(' ').unwrap_or(value.len());
            (value[..end].to_owned(), &value[end..])
        };
        fields.insert(key.to_owned(), text.into());
        rest = remainder.trim_start();
    }
    Some(fields)
}
