//! Reads the keys of one section and collects their errors.

use toml::Table;
use toml::Value;

use super::document_error::ErrorList;
use crate::NumberRange;
use crate::SectionName;

/// Value that errors show for a missing key.
const MISSING: &str = "nothing";

/// Removes the keys of one section one by one; keys that remain at the end are unknown.
pub(super) struct SectionReader<'a> {
    section: SectionName,
    table: Table,
    errors: &'a mut ErrorList,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of one section's table; errors go to `errors`.
    pub(super) fn new(section: SectionName, table: Table, errors: &'a mut ErrorList) -> Self {
        Self { section, table, errors }
    }

    /// Adds an error if the section has no `key`.
    pub(super) fn require(&mut self, key: &str, allowed: impl std::fmt::Display) {
        if !self.table.contains_key(key) {
            self.errors.add(self.section, key, MISSING, allowed);
        }
    }

    /// Removes and returns a boolean.
    pub(super) fn flag(&mut self, key: &str, default: bool) -> bool {
        match self.table.remove(key) {
            None => default,
            Some(Value::Boolean(flag)) => flag,
            Some(value) => {
                self.errors.add(self.section, key, value, "true or false");
                default
            }
        }
    }

    /// Removes and returns an integer that fits its type; the document check validates its range.
    pub(super) fn number<N: TryFrom<i64>>(
        &mut self,
        key: &str,
        range: NumberRange,
        default: N,
    ) -> N {
        let Some(value) = self.table.remove(key) else {
            return default;
        };
        let number = value.as_integer().and_then(|number| N::try_from(number).ok());
        number.unwrap_or_else(|| {
            self.errors.add(self.section, key, value, range);
            default
        })
    }

    /// Removes and returns a float or an integer.
    pub(super) fn float(&mut self, key: &str, allowed: &str, default: f64) -> f64 {
        match self.table.remove(key) {
            None => default,
            Some(Value::Float(number)) => number,
            Some(Value::Integer(number)) => number as f64,
            Some(value) => {
                self.errors.add(self.section, key, value, allowed);
                default
            }
        }
    }

    /// Removes and returns a string.
    pub(super) fn text(&mut self, key: &str) -> String {
        match self.table.remove(key) {
            None => String::new(),
            Some(Value::String(text)) => text,
            Some(value) => {
                self.errors.add(self.section, key, value, "a text in quotes");
                String::new()
            }
        }
    }

    /// Removes and returns a name; returns `None` if it is missing or invalid.
    pub(super) fn name<N>(&mut self, key: &str) -> Option<N>
    where
        N: std::str::FromStr<Err = crate::NameError>,
    {
        let value = self.table.remove(key)?;
        self.parse_name(key, &value)
    }

    /// Removes and returns a list of names.
    pub(super) fn names<N>(&mut self, key: &str) -> Vec<N>
    where
        N: std::str::FromStr<Err = crate::NameError>,
    {
        match self.table.remove(key) {
            None => Vec::new(),
            Some(Value::Array(values)) => {
                values.iter().filter_map(|value| self.parse_name(key, value)).collect()
            }
            Some(value) => {
                self.errors.add(self.section, key, value, "a list of names");
                Vec::new()
            }
        }
    }

    /// Removes and returns a nested table.
    pub(super) fn table(&mut self, key: &str, allowed: &str) -> Table {
        match self.table.remove(key) {
            None => Table::new(),
            Some(Value::Table(table)) => table,
            Some(_) => {
                self.errors.add(self.section, key, "another type", allowed);
                Table::new()
            }
        }
    }

    pub(super) fn add_error(&mut self, key: &str, value: &str, allowed: impl std::fmt::Display) {
        self.errors.add(self.section, key, value, allowed);
    }

    /// Adds an error for every remaining key.
    pub(super) fn finish(self, keys: &[&str]) {
        let allowed = format!("the keys {}", keys.join(", "));
        for key in self.table.keys() {
            self.errors.add(self.section, key, "an unknown key", &allowed);
        }
    }

    fn parse_name<N>(&mut self, key: &str, value: &Value) -> Option<N>
    where
        N: std::str::FromStr<Err = crate::NameError>,
    {
        let Some(text) = value.as_str() else {
            self.errors.add(self.section, key, value, "a name in quotes");
            return None;
        };
        match text.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                self.errors.add(self.section, key, value, error);
                None
            }
        }
    }
}
