//! How two sets of sections differ.

use magnoliapin_model::SectionName;
use serde::Serialize;
use toml::Table;

use crate::command::config::SectionTexts;

/// How one section differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct SectionDifference {
    /// The section.
    pub(crate) section: SectionName,
    /// Keys that differ.
    pub(crate) keys: Vec<KeyDifference>,
}

/// How one key of a section differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct KeyDifference {
    /// The key.
    pub(crate) key: String,
    /// Its value in force; none if it has none.
    pub(crate) current: Option<String>,
    /// Its value in the document; none if it has none.
    pub(crate) wanted: Option<String>,
}

/// Compares the sections in force with those of a document.
pub(crate) fn compare(current: &SectionTexts, wanted: &SectionTexts) -> Vec<SectionDifference> {
    let mut differences = Vec::new();
    let added = wanted.keys().filter(|name| !current.contains_key(*name));
    for name in current.keys().chain(added) {
        let before = read_table(current.get(name));
        let after = read_table(wanted.get(name));
        let keys = compare_tables(&before, &after);
        let comes_or_goes = current.contains_key(name) != wanted.contains_key(name);
        if comes_or_goes || !keys.is_empty() {
            differences.push(SectionDifference { section: *name, keys });
        }
    }
    differences
}

/// Shows differences with `-` for what is in force and `+` for what is in the document.
pub(crate) fn text(differences: &[SectionDifference]) -> String {
    if differences.is_empty() {
        return "no difference".to_owned();
    }
    let mut text = String::new();
    for difference in differences {
        text.push_str(&format!("[{}]\n", difference.section));
        for key in &difference.keys {
            for (sign, value) in [('-', &key.current), ('+', &key.wanted)] {
                if let Some(value) = value {
                    text.push_str(&format!("{sign} {} = {value}\n", key.key));
                }
            }
        }
    }
    text
}

fn read_table(text: Option<&String>) -> Table {
    text.and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn compare_tables(current: &Table, wanted: &Table) -> Vec<KeyDifference> {
    let added = wanted.keys().filter(|key| !current.contains_key(*key));
    let changed = current.keys().chain(added).filter(|key| current.get(*key) != wanted.get(*key));
    let difference = |key: &String| KeyDifference {
        key: key.clone(),
        current: current.get(key).map(ToString::to_string),
        wanted: wanted.get(key).map(ToString::to_string),
    };
    changed.map(difference).collect()
}
