//! Parses documents and sections from TOML.

use indexmap::IndexMap;
use toml::Table;
use toml::Value;

use super::document_error::ErrorList;
use super::section_reader::SectionReader;
use crate::ConfigDocument;
use crate::DocumentError;
use crate::MaintenanceSection;
use crate::PoolSection;
use crate::QueueSection;
use crate::SectionName;
use crate::TeamSection;
use crate::WeightSection;

/// Maximum length of a document in bytes, both as written and in canonical form with every
/// default.
pub const MAX_DOCUMENT_BYTES: usize = 2 * 1024 * 1024;

const ALLOWED_SECTIONS: &str = "the sections [pools.<name>], [teams.<name>], [queues.<name>], \
                       [maintenance] and [weights]";

impl ConfigDocument {
    /// Parses a document and validates it.
    ///
    /// # Errors
    ///
    /// Returns every error found, up to [`MAX_DOCUMENT_ERRORS`](crate::MAX_DOCUMENT_ERRORS).
    pub fn parse(text: &str) -> Result<Self, Vec<DocumentError>> {
        let mut errors = ErrorList::default();
        let mut sections = Vec::new();
        let Some(table) = parse_table("", text, &mut errors) else {
            return Err(errors.into_vec());
        };
        for (kind, value) in table {
            split_top_level_key(&kind, value, &mut sections, &mut errors);
        }
        Self::assemble(sections, errors)
    }

    /// Assembles a document from the text of each section and validates it.
    ///
    /// # Errors
    ///
    /// Returns every error found, up to [`MAX_DOCUMENT_ERRORS`](crate::MAX_DOCUMENT_ERRORS).
    pub fn from_sections(
        texts: &IndexMap<SectionName, String>,
    ) -> Result<Self, Vec<DocumentError>> {
        let mut errors = ErrorList::default();
        let mut sections = Vec::new();
        if texts.values().map(String::len).sum::<usize>() > MAX_DOCUMENT_BYTES {
            errors.push(too_long_error(""));
            return Err(errors.into_vec());
        }
        for (name, text) in texts {
            if let Some(table) = parse_table(&name.to_string(), text, &mut errors) {
                sections.push((*name, table));
            }
        }
        Self::assemble(sections, errors)
    }

    fn assemble(
        mut sections: Vec<(SectionName, Table)>,
        mut errors: ErrorList,
    ) -> Result<Self, Vec<DocumentError>> {
        let mut document = Self::default();
        let all_sections_parsed = errors.is_empty();
        sections.sort_unstable_by_key(|(name, _)| *name);
        for (name, table) in sections {
            document.read_section(name, SectionReader::new(name, table, &mut errors));
        }
        // If a section failed to parse, every reference to it would be reported as a further error.
        let found = if all_sections_parsed { document.check() } else { document.check_ranges() };
        errors.append_new(found);
        if errors.is_empty() && document.to_toml().len() > MAX_DOCUMENT_BYTES {
            errors.push(too_long_error(""));
        }
        let errors = errors.into_vec();
        if errors.is_empty() {
            Ok(document)
        } else {
            Err(errors)
        }
    }

    fn read_section(&mut self, name: SectionName, reader: SectionReader<'_>) {
        match name {
            SectionName::Pool(pool) => {
                self.pools.insert(pool, PoolSection::read(reader));
            }
            SectionName::Team(team) => {
                self.teams.insert(team, TeamSection::read(reader));
            }
            SectionName::Queue(queue) => {
                self.queues.insert(queue, QueueSection::read(reader));
            }
            SectionName::Maintenance => self.maintenance = MaintenanceSection::read(reader),
            SectionName::Weights => self.weights = WeightSection::read(reader),
        }
    }
}

/// Parses a TOML text; adds an error and returns `None` if it is too long or not valid TOML.
fn parse_table(section: &str, text: &str, errors: &mut ErrorList) -> Option<Table> {
    if text.len() > MAX_DOCUMENT_BYTES {
        errors.push(too_long_error(section));
        return None;
    }
    match text.parse() {
        Ok(table) => Some(table),
        Err(error) => {
            errors.push(syntax_error(section, text, &error));
            None
        }
    }
}

/// Splits the value of a top-level key into sections.
fn split_top_level_key(
    kind: &str,
    value: Value,
    sections: &mut Vec<(SectionName, Table)>,
    errors: &mut ErrorList,
) {
    match (kind, value) {
        ("pools" | "teams" | "queues", Value::Table(table)) => {
            for (name, value) in table {
                split_section(kind, &name, value, sections, errors);
            }
        }
        ("maintenance", Value::Table(table)) => sections.push((SectionName::Maintenance, table)),
        ("weights", Value::Table(table)) => sections.push((SectionName::Weights, table)),
        _ => errors.push(DocumentError {
            section: String::new(),
            key: kind.to_owned(),
            value: "an unknown section or key".to_owned(),
            allowed: ALLOWED_SECTIONS.to_owned(),
        }),
    }
}

fn split_section(
    kind: &str,
    name: &str,
    value: Value,
    sections: &mut Vec<(SectionName, Table)>,
    errors: &mut ErrorList,
) {
    let (found, allowed) = match (format!("{kind}.{name}").parse::<SectionName>(), value) {
        (Ok(section), Value::Table(table)) => return sections.push((section, table)),
        (Err(error), _) => (format!("the name {name:?}"), error.to_string()),
        (Ok(_), _) => ("a value".to_owned(), format!("a section [{kind}.{name}]")),
    };
    errors.push(DocumentError {
        section: kind.to_owned(),
        key: name.to_owned(),
        value: found,
        allowed,
    });
}

fn syntax_error(section: &str, text: &str, error: &toml::de::Error) -> DocumentError {
    let start = error.span().map_or(0, |span| span.start);
    let line = 1 + text.bytes().take(start).filter(|byte| *byte == b'\n').count();
    DocumentError {
        section: section.to_owned(),
        key: String::new(),
        value: format!("on line {line}: {}", error.message()),
        allowed: "TOML".to_owned(),
    }
}

fn too_long_error(section: &str) -> DocumentError {
    DocumentError {
        section: section.to_owned(),
        key: String::new(),
        value: "a longer text".to_owned(),
        allowed: format!("at most {MAX_DOCUMENT_BYTES} bytes, also with every default written out"),
    }
}
