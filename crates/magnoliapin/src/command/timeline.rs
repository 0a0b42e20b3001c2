//! Merged events of all entries: `timeline`.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::SystemTime;

use hyper::Method;
use indexmap::IndexMap;
use magnoliapin_entry::TimelineRecord;
use magnoliapin_entry::TimelineView;
use magnoliapin_model::EntryId;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;

use crate::client::EntryCall;
use crate::command::status;
use crate::command::usage;
use crate::command::CommandContext;
use crate::command::CommandResult;
use crate::flags;

/// Timeout of the call that reads the events of one entry.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Shows the merged events of all entries.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if no entry responds.
pub(crate) async fn timeline(context: &CommandContext, flags: flags::Timeline) -> CommandResult {
    let mut merged = fetch_events(context).await?;
    merged.retain(&flags);
    if let Some(file) = &flags.trace {
        write_trace(file, &merged)?;
    }
    context.print(&merged, MergedTimeline::text)
}

/// Events of all entries, oldest first, and the gaps among them.
#[derive(Debug, Default, Serialize)]
struct MergedTimeline {
    records: Vec<TimelineRecord>,
    missing: Vec<TimelineGap>,
}

/// Events that are missing from the timeline.
#[derive(Debug, Serialize)]
struct TimelineGap {
    entry: EntryId,
    address: SocketAddr,
    reason: String,
}

/// Reads the events of every entry in the status of one entry.
async fn fetch_events(context: &CommandContext) -> CommandResult<MergedTimeline> {
    let client = context.client()?;
    let system = status::read_status(context).await?;
    let mut merged = MergedTimeline::default();
    let call = EntryCall::new(Method::GET, "/v1/timeline").with_timeout(ENTRY_TIMEOUT);
    for entry in system.entries {
        let missing =
            |reason: String| TimelineGap { entry: entry.entry, address: entry.address, reason };
        match client.for_entry(entry.address).call(&call).await {
            Ok(reply) => match serde_json::from_slice::<TimelineView>(&reply.body) {
                Ok(view) => {
                    if view.dropped > 0 {
                        let reason = format!("{} older events are no longer kept", view.dropped);
                        merged.missing.push(missing(reason));
                    }
                    merged.records.extend(view.records);
                }
                Err(error) => merged.missing.push(missing(format!("unreadable events: {error}"))),
            },
            Err(report) => merged.missing.push(missing(report.current_context().to_string())),
        }
    }
    merged.records.sort_by_key(|record| (record.stamp_us, record.stamp_count, record.entry));
    Ok(merged)
}

impl MergedTimeline {
    fn retain(&mut self, flags: &flags::Timeline) {
        let since = flags.since.map(|span| now_us().saturating_sub(micros(*span)));
        self.records.retain(|record| {
            since.is_none_or(|since| record.stamp_us >= since)
                && flags.job.is_none_or(|job| record.event.work == Some(job))
                && flags.instance.is_none_or(|instance| record.event.instance == Some(instance))
        });
    }

    fn text(&self) -> String {
        let mut text = String::new();
        for record in &self.records {
            text.push_str(&record_line(record));
        }
        for gap in &self.missing {
            text.push_str(&format!(
                "missing: entry {} at {}: {}\n",
                gap.entry, gap.address, gap.reason
            ));
        }
        text
    }
}

fn record_line(record: &TimelineRecord) -> String {
    let time = SystemTime::UNIX_EPOCH + Duration::from_micros(record.stamp_us);
    let time = humantime::format_rfc3339_micros(time);
    let event = &record.event;
    let mut line = format!("{time} {} {} {}", record.entry, record.zone, name_text(record));
    let details = [
        event.work.map(|work| format!("work={work}")),
        event.instance.map(|instance| format!("instance={instance}")),
        event.kind.map(|kind| format!("kind={kind}")),
        event.number.map(|number| format!("number={number}")),
    ];
    for detail in details.into_iter().flatten() {
        line.push(' ');
        line.push_str(&detail);
    }
    line.push('\n');
    line
}

fn name_text(record: &TimelineRecord) -> String {
    match serde_json::to_value(record.event.name) {
        Ok(Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Writes the events in the trace event JSON format, with one process for each entry.
fn write_trace(file: &Path, merged: &MergedTimeline) -> CommandResult {
    let mut processes: IndexMap<EntryId, usize> = IndexMap::new();
    let mut events = Vec::new();
    for record in &merged.records {
        let next = processes.len() + 1;
        let process = *processes.entry(record.entry).or_insert_with(|| {
            events.push(process_name(next, record));
            next
        });
        events.push(json!({
            "name": name_text(record),
            "ph": "i",
            "s": "p",
            "ts": record.stamp_us,
            "pid": process,
            "tid": process,
            "args": record.event,
        }));
    }
    let trace = json!({ "traceEvents": events }).to_string();
    fs::write(file, trace).map_err(|error| usage(format!("{}: {error}", file.display())))
}

fn process_name(process: usize, record: &TimelineRecord) -> Value {
    let name = format!("entry {} in {}", record.entry, record.zone);
    json!({ "name": "process_name", "ph": "M", "pid": process, "args": { "name": name } })
}

fn now_us() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    micros(now)
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
