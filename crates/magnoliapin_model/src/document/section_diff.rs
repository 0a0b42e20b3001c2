//! Differences between two sets of sections.

use std::fmt;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::SectionName;

crate::plain_data! {
    /// What differs between two sets of sections, in canonical order.
    #[derive(Default)]
    pub struct SectionDiff {
        /// The sections that differ.
        pub edits: IndexMap<SectionName, SectionEdit>,
    }

    /// What became of one section.
    #[serde(rename_all = "snake_case")]
    pub enum SectionEdit {
        /// It is new; holds its lines.
        Added(Vec<String>),
        /// It is gone; holds its lines.
        Removed(Vec<String>),
        /// It has other lines.
        Changed {
            /// Lines that only the old text has.
            old: Vec<String>,
            /// Lines that only the new text has.
            new: Vec<String>,
        },
    }
}

impl SectionDiff {
    /// Compares two sets of sections. Order, indentation and empty lines do not count.
    pub fn new(old: &IndexMap<SectionName, String>, new: &IndexMap<SectionName, String>) -> Self {
        let mut names: IndexSet<SectionName> = old.keys().chain(new.keys()).copied().collect();
        names.sort_unstable();
        let edits = names.into_iter().filter_map(|name| {
            let edit = SectionEdit::between(old.get(&name), new.get(&name))?;
            Some((name, edit))
        });
        Self { edits: edits.collect() }
    }

    /// Returns whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.edits.is_empty()
    }
}

impl SectionEdit {
    fn between(old: Option<&String>, new: Option<&String>) -> Option<Self> {
        match (old, new) {
            (None, None) => None,
            (None, Some(new)) => Some(Self::Added(owned(&lines(new)))),
            (Some(old), None) => Some(Self::Removed(owned(&lines(old)))),
            (Some(old), Some(new)) => Self::changed(&lines(old), &lines(new)),
        }
    }

    fn changed(old: &IndexSet<&str>, new: &IndexSet<&str>) -> Option<Self> {
        let only_old: IndexSet<&str> = old.difference(new).copied().collect();
        let only_new: IndexSet<&str> = new.difference(old).copied().collect();
        if only_old.is_empty() && only_new.is_empty() {
            return None;
        }
        Some(Self::Changed { old: owned(&only_old), new: owned(&only_new) })
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

fn owned(lines: &IndexSet<&str>) -> Vec<String> {
    lines.iter().map(ToString::to_string).collect()
}
