//! The canonical text of one section.

use std::fmt::Write;

use indexmap::IndexMap;
use toml::Value;

use crate::ConfigDocument;
use crate::SectionName;

/// Writes the body of one section, a key on each line.
#[derive(Debug, Default)]
pub(super) struct SectionText {
    text: String,
}

impl SectionText {
    /// Writes one key.
    pub(super) fn line(&mut self, key: &str, value: impl Into<Value>) {
        let value = value.into();
        writeln!(self.text, "{key} = {value}").expect("a string takes every text");
    }

    /// Writes one key with a whole number.
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

    /// Returns the text.
    pub(super) fn into_string(self) -> String {
        self.text
    }
}

impl ConfigDocument {
    /// Returns the text of each section as the body of a TOML table, without its header.
    ///
    /// The texts are canonical: documents that are equal have equal texts, in the same order.
    /// Keys that have a default are written too.
    pub fn sections(&self) -> IndexMap<SectionName, String> {
        let names = self.section_names();
        names.into_iter().map(|name| (name, self.section_text(name).unwrap_or_default())).collect()
    }

    /// Returns the canonical text of one section, or none if there is no such section.
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

/// Returns a name as a key of a TOML table, quoted where the syntax asks for it.
pub(super) fn toml_key(name: &str) -> String {
    if name.contains('.') {
        format!("\"{name}\"")
    } else {
        name.to_owned()
    }
}
