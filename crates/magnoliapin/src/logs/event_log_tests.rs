//! Format of log lines and counting of repeated events.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use log::Level;
use log::Log;
use log::Record;

use crate::logs::EventLog;
use crate::logs::LogFormat;

#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs the messages and returns the lines that are written.
fn log_lines(format: LogFormat, messages: &[&str]) -> Vec<String> {
    let output = SharedOutput::default();
    let log = EventLog::new(format, Box::new(output.clone()));
    for message in messages {
        let arguments = format_args!("{message}");
        log.log(&Record::builder().level(Level::Warn).target("t").args(arguments).build());
    }
    log.flush();
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    text.lines().map(str::to_owned).collect()
}

#[test]
fn text_format_writes_one_line_per_event() {
    let lines = log_lines(LogFormat::Text, &["event=stop_began zone=a"]);
    assert_eq!(lines.len(), 1);
    assert!(lines[0].starts_with("time=2"), "{}", lines[0]);
    assert!(lines[0].ends_with(" level=warn module=t event=stop_began zone=a"), "{}", lines[0]);
}

#[test]
fn json_format_writes_one_field_per_key() {
    let lines =
        log_lines(LogFormat::Json, &["event=lost error=\"a \\\"b\\\" c\" count=3", "no keys"]);
    let first: serde_json::Value = serde_json::from_str(&lines[0]).unwrap();
    assert_eq!((&first["event"], &first["count"]), (&"lost".into(), &"3".into()));
    assert_eq!(first["error"], "a \"b\" c");
    let second: serde_json::Value = serde_json::from_str(&lines[1]).unwrap();
    assert_eq!(second["message"], "no keys");
}

#[test]
fn repeated_events_are_counted() {
    let lines = log_lines(LogFormat::Text, &["event=a", "event=a", "event=a", "event=b"]);
    assert_eq!(lines.len(), 3);
    assert!(lines[1].ends_with("event=a repeats=2"), "{}", lines[1]);
    assert!(lines[2].ends_with("event=b"), "{}", lines[2]);
}
