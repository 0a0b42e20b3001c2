//! Differences between two sets of sections.

use std::fmt;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::SectionName;

crate::plain_data! {
    /// Differences between two sets of sections, in canonical order.
    #[derive(Default)]
    pub struct SectionDiff {
        /// Edit of each section that differs.
        pub edits: IndexMap<SectionName, SectionEdit>,
    }

    /// Change of one section.
    #[serde(rename_all = "snake_case")]
    pub enum SectionEdit {
        /// The section was added; contains its lines.
        Added(Vec<String>),
        /// The section was removed; contains its lines.
        Removed(Vec<String>),
        /// The lines of the section changed.
        Changed {
            /// Lines that only the old text has.
            old: Vec<String>,
            /// Lines that only the new text has.
            new: Vec<String>,
        },
    }
}

impl SectionDiff {
    /// Compares two sets of sections, ignoring order, indentation and empty lines.
    pub fn new(old: &IndexMap<SectionName, String>, new: &IndexMap<SectionName, String>) -> Self {
        let mut names: IndexSet<SectionName> = old.keys().chain(new.keys()).copied().collect();
        names.sort_unstable();
        let edits = names.into_iter().filter_map(|name| {
            let edit = SectionEdit::between(old.get(&name), new.get(&name))?;
            Some((name, edit))
        });
        Self { edits: edits.collect() }
    }

    /// Returns whether there are no differences.
    pub fn is_empty(&self) -> bool {
        self.edits.is_empty()
    }
}

impl SectionEdit {
    fn between(old: Option<&String>, new: Option<&String>) -> Option<Self> {
        match (old, new) {
            (None, None) => None,
            (None, Some(new)) => Some(Self::Added(to_strings(&lines(new)))),
            (Some(old), None) => Some(Self::Removed(to_strings(&lines(old)))),
            (Some(old), Some(new)) => Self::changed(&lines(old), &lines(new)),
        }
    }

    fn changed(old: &IndexSet<&str>, new: &IndexSet<&str>) -> Option<Self> {
        let only_old: IndexSet<&str> = old.difference(new).copied().collect();
        let only_new: IndexSet<&str> = new.difference(old).copied().collect();
        if only_old.is_empty() && only_new.is_empty() {
            return None;
        }
        Some(Self::Changed { old: to_strings(&only_old), new: to_strings(&only_new) })
    }
}

impl fmt::Display for SectionDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, edit) in &self.edits {
            let (mark, old, new): (_, &[String], &[String]) = match edit {
                SectionEdit::Added(lines) => ('+', &[], lines),
                SectionEdit::Removed(lines) => ('-', lines, &[]),
                SectionEdit::Changed { old, new } => (' ', old, new),
            };
            writeln!(formatter, "{mark}[{}]", name.toml_header())?;
            for line in old {
                writeln!(formatter, "-{line}")?;
            }
            for line in new {
                writeln!(formatter, "+{line}")?;
            }
        }
        Ok(())
    }
}

fn lines(text: &str) -> IndexSet<&str> {
    text.lines().map(str::trim).filter(|line| !line.is_empty()).collect()
}

fn to_strings(lines: &IndexSet<&str>) -> Vec<String> {
    lines.iter().map(ToString::to_string).collect()
}
