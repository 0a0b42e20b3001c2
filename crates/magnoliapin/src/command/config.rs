//! The configuration document: `config check|diff|apply|show`.

use std::fs;
use std::path::Path;

use error_stack::Report;
use hyper::Method;
use indexmap::IndexMap;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::DocumentError;
use magnoliapin_model::SectionDiff;
use magnoliapin_model::SectionName;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::ConfigChange;
use magnoliapin_wire::ConfigView;
use serde::Serialize;
use toml::Table;
use toml::Value;

use crate::client::EntryCall;
use crate::command;
use crate::command::refused;
use crate::command::unexpected_answer;
use crate::command::usage;
use crate::command::CommandContext;
use crate::command::CommandResult;
use crate::command_error::CommandError;
use crate::flags;

/// Text of each section of a document, as a TOML table.
pub(crate) type SectionTexts = IndexMap<SectionName, String>;

/// Checks a document without calling an entry.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] with all errors of the document.
pub(crate) fn check(context: &CommandContext, flags: &flags::Check) -> CommandResult {
    let text = read_document(&flags.file)?;
    match ConfigDocument::parse(&text) {
        Ok(document) => {
            let summary = CheckSummary::new(&document);
            context.print(&summary, CheckSummary::text)
        }
        Err(errors) if context.prints_json() => {
            let summary = CheckSummary { errors: errors.clone(), ..CheckSummary::default() };
            context.print(&summary, CheckSummary::text)?;
            Err(document_errors(&flags.file, &errors))
        }
        Err(errors) => Err(document_errors(&flags.file, &errors)),
    }
}

/// Shows the changes that applying a document would make.
///
/// # Errors
///
/// Returns a [`CommandError`] if the document is invalid or no entry responds.
pub(crate) async fn diff(context: &CommandContext, flags: &flags::Diff) -> CommandResult {
    let desired = read_sections(&flags.file)?;
    let current = read_config(context).await?.sections;
    let mut merged = current.clone();
    merged.extend(desired);
    let merged = ConfigDocument::from_sections(&merged);
    let merged = merged.map_err(|errors| document_errors(&flags.file, &errors))?;
    // The configuration in force was validated when it was accepted, so this fails only if there
    // is none yet.
    let current = ConfigDocument::from_sections(&current).map(|current| current.sections());
    let difference = SectionDiff::new(&current.unwrap_or_default(), &merged.sections());
    context.print(&difference, |difference| {
        if difference.is_empty() {
            "no difference".to_owned()
        } else {
            difference.to_string()
        }
    })
}

/// Applies a document, or some sections of it.
///
/// # Errors
///
/// Returns a [`CommandError`] if the document is invalid or the change is refused.
pub(crate) async fn apply(context: &CommandContext, flags: &flags::Apply) -> CommandResult {
    let desired = read_sections(&flags.file)?;
    let sections = if flags.section.is_empty() {
        desired.into_iter().map(|(name, text)| (name, Some(text))).collect()
    } else {
        flags.section.iter().map(|name| (*name, desired.get(name).cloned())).collect()
    };
    if flags.whole && !flags.section.is_empty() {
        return Err(usage(
            "--whole applies the whole document and cannot be combined with --section",
        ));
    }
    let change = ConfigChange { base: flags.base, sections, whole: flags.whole };
    let applied = send_change(context, &change).await?;
    context.print(&applied, |applied| {
        let accepted = format!("version {} is accepted", applied.version);
        let warnings = applied.warnings.iter().map(|warning| format!("\nwarning: {warning}"));
        std::iter::once(accepted).chain(warnings).collect()
    })
}

/// Shows the configuration in force.
///
/// # Errors
///
/// Returns a [`CommandError`] if no entry responds or there is no such section.
pub(crate) async fn show(context: &CommandContext, flags: &flags::Show) -> CommandResult {
    let view = read_config(context).await?;
    let view = ConfigView { sections: canonical_sections(&view), ..view };
    let view = match flags.section {
        Some(section) => select_section(view, section)?,
        None => view,
    };
    context.print(&view, document_text)
}

/// Reads the configuration in force.
///
/// # Errors
///
/// Returns a [`CommandError`] if no entry responds.
pub(crate) async fn read_config(context: &CommandContext) -> CommandResult<ConfigView> {
    match context.call_for_answer(EntryCall::new(Method::GET, "/v1/config")).await? {
        CallerAnswer::Config(view) => Ok(view),
        _ => Err(unexpected_answer()),
    }
}

/// Sends a configuration change, and repeats it while the entry is not ready.
///
/// # Errors
///
/// Returns a [`CommandError`] if it is refused.
pub(crate) async fn send_change(
    context: &CommandContext,
    change: &ConfigChange,
) -> CommandResult<AppliedView> {
    let body = serde_json::to_vec(change)
        .map_err(|error| usage(format!("the change cannot be sent: {error}")))?;
    let call = EntryCall::new(Method::POST, "/v1/config")
        .with_body(body)
        .with_header("content-type", "application/json");
    let reply = command::call_when_ready(&context.client()?, &call).await?;
    match serde_json::from_slice(&command::success_body(&reply)?) {
        Ok(CallerAnswer::Applied { version, warnings }) => Ok(AppliedView { version, warnings }),
        _ => Err(unexpected_answer()),
    }
}

magnoliapin_model::plain_data! {
    /// Result of an accepted change.
    pub(crate) struct AppliedView {
        /// Version of the configuration that the change created.
        pub(crate) version: ConfigVersion,
        /// Requirements of the accepted configuration that the fleet cannot meet.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub(crate) warnings: Vec<String>,
    }
}

/// Result of checking a document: its numbers of sections, or its errors.
#[derive(Clone, Debug, Default, Serialize)]
struct CheckSummary {
    pools: usize,
    teams: usize,
    queues: usize,
    errors: Vec<DocumentError>,
}

impl CheckSummary {
    fn new(document: &ConfigDocument) -> Self {
        Self {
            pools: document.pools.len(),
            teams: document.teams.len(),
            queues: document.queues.len(),
            errors: Vec::new(),
        }
    }

    fn text(&self) -> String {
        format!("ok: {} pools, {} teams, {} queues", self.pools, self.teams, self.queues)
    }
}

fn read_document(file: &Path) -> CommandResult<String> {
    fs::read_to_string(file).map_err(|error| usage(format!("{}: {error}", file.display())))
}

/// Reads the sections of a file without checking their values: the entry checks them together
/// with the sections in force.
fn read_sections(file: &Path) -> CommandResult<SectionTexts> {
    let text = read_document(file)?;
    split_sections(&text).map_err(|message| usage(format!("{}: {message}", file.display())))
}

/// Splits the text of a document into its sections, in the order of the document.
///
/// # Errors
///
/// Returns an error if the text is not valid TOML, a section is not a table, or the name of a
/// section is invalid.
pub(crate) fn split_sections(text: &str) -> Result<SectionTexts, String> {
    let root = text.parse::<Table>().map_err(|error| error.message().to_owned())?;
    let mut sections = SectionTexts::new();
    for (group, value) in &root {
        let Value::Table(table) = value else {
            return Err(format!("{group} is no table"));
        };
        if let Ok(name) = group.parse::<SectionName>() {
            sections.insert(name, section_text(table)?);
            continue;
        }
        for (member, value) in table {
            let Value::Table(table) = value else {
                return Err(format!("{group}.{member} is no table"));
            };
            let name = format!("{group}.{member}");
            let name = name.parse().map_err(|error| format!("{name}: {error}"))?;
            sections.insert(name, section_text(table)?);
        }
    }
    Ok(sections)
}

fn section_text(table: &Table) -> Result<String, String> {
    toml::to_string(table).map_err(|error| error.to_string())
}

/// Returns the sections in canonical form, with default values filled in.
fn canonical_sections(view: &ConfigView) -> SectionTexts {
    let document = ConfigDocument::from_sections(&view.sections);
    document.map_or_else(|_| view.sections.clone(), |document| document.sections())
}

fn select_section(mut view: ConfigView, section: SectionName) -> CommandResult<ConfigView> {
    view.sections.retain(|name, _| *name == section);
    if view.sections.is_empty() {
        let message = format!("there is no section {section}");
        return Err(refused(message));
    }
    Ok(view)
}

/// Returns the sections as one document.
fn document_text(view: &ConfigView) -> String {
    let mut text = format!("# version {}\n", view.version);
    for (name, section) in &view.sections {
        text.push_str(&format!("\n[{}]\n{section}", name.toml_header()));
    }
    text
}

fn document_errors(file: &Path, errors: &[DocumentError]) -> Report<CommandError> {
    let lines: Vec<String> =
        errors.iter().map(|error| format!("{}: {error}", file.display())).collect();
    usage(lines.join("\n"))
}
