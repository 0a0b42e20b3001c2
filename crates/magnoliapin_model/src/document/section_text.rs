//! The canonical text of one section.

use std::fmt::Write;

use indexmap::IndexMap;
use toml::Value;

use crate::ConfigDocument;
use crate::SectionName;

/// Writes the body of one section, one key per line.
#[derive(Debug, Default)]
pub(super) struct SectionText {
    text: String,
}

impl SectionText {
    /// Writes one key.
    pub(super) fn line(&mut self, key: &str, value: impl Into<Value>) {
        let value = value.into();
        writeln!(self.text, "{key} = {value}").expect("writing to a string never fails");
    }

    /// Writes one key with an integer.
    pub(super) fn number(&mut self, key: &str, number: impl Into<u64>) {
        let number = i64::try_from(number.into()).unwrap_or(i64::MAX);
        self.line(key, number);
    }

    /// Writes one key if it has a value.
    pub(super) fn optional(&mut self, key: &str, value: Option<impl std::fmt::Display>) {
        if let Some(value) = value {
            self.line(key, value.to_string());
        }
    }

    pub(super) fn into_string(self) -> String {
        self.text
    }
}

impl ConfigDocument {
    /// Returns the text of each section as the body of a TOML table, without its header.
    ///
    /// The texts are canonical: equal documents have equal texts, in the same order. Keys with
    /// default values are included.
    pub fn sections(&self) -> IndexMap<SectionName, String> {
        let names = self.section_names();
        names.into_iter().map(|name| (name, self.section_text(name).unwrap_or_default())).collect()
    }

    /// Returns the canonical text of one section, or `None` if the section does not exist.
    pub fn section_text(&self, name: SectionName) -> Option<String> {
        let mut text = SectionText::default();
        match name {
            SectionName::Pool(pool) => self.pools.get(&pool)?.write(&mut text),
            SectionName::Team(team) => self.teams.get(&team)?.write(&mut text),
            SectionName::Queue(queue) => self.queues.get(&queue)?.write(&mut text),
            SectionName::Maintenance => self.maintenance.write(&mut text),
            SectionName::Weights => self.weights.write(&mut text),
        }
        Some(text.into_string())
    }

    /// Returns the whole document as canonical TOML.
    pub fn to_toml(&self) -> String {
        let mut document = String::new();
        for (name, text) in self.sections() {
            if !document.is_empty() {
                document.push('\n');
            }
            document.push_str(&format!("[{}]\n{text}", name.toml_header()));
        }
        document
    }
}

/// Returns a name as a TOML key, quoted if necessary.
pub(super) fn toml_key(name: &str) -> String {
    if name.contains('.') {
        format!("\"{name}\"")
    } else {
        name.to_owned()
    }
}
