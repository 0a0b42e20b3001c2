//! Reads values from a TOML table and collects all errors.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use toml::Table;
use toml::Value;

use crate::settings::SettingsError;

/// Reads a settings file key by key.
///
/// Keys of a table contain a dot, such as `log.level`. [`SettingsReader::finish`] reports each key
/// of the file that was never requested as an error.
#[derive(Debug)]
pub(crate) struct SettingsReader {
    file: String,
    root: Table,
    errors: Vec<SettingsError>,
    known: Vec<&'static str>,
}

impl SettingsReader {
    /// Parses the text as TOML.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid TOML.
    pub(crate) fn new(file: &str, text: &str) -> Result<Self, Vec<SettingsError>> {
        let root = text.parse::<Table>().map_err(|error| {
            let line = error.span().map_or(1, |span| line_number(text, span.start));
            let found = format!("line {line}: {}", error.message());
            vec![SettingsError::new(file, "", found, "a TOML file")]
        })?;
        Ok(Self { file: file.to_owned(), root, errors: Vec::new(), known: Vec::new() })
    }

    /// Reads and parses a string that must be present.
    pub(crate) fn required<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        let before = self.errors.len();
        let value = self.optional(key, allowed);
        if value.is_none() && self.errors.len() == before {
            self.record_error(key, "nothing", allowed);
        }
        value
    }

    /// Reads and parses a string that may be absent.
    pub(crate) fn optional<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        let value = self.take(key)?;
        let parsed = value.as_str().and_then(|text| text.parse().ok());
        if parsed.is_none() {
            self.record_error(key, value, allowed);
        }
        parsed
    }

    /// Reads a string that may be absent.
    pub(crate) fn text(&mut self, key: &'static str) -> Option<String> {
        self.optional(key, "a text")
    }

    /// Reads a string that may be absent and must not appear in any error.
    pub(crate) fn secret(&mut self, key: &'static str) -> Option<String> {
        match self.take(key)? {
            Value::String(text) => Some(text),
            _ => {
                self.record_error(key, "a hidden value that is no text", "a text");
                None
            }
        }
    }

    /// Reads a boolean that may be absent.
    pub(crate) fn flag(&mut self, key: &'static str) -> Option<bool> {
        let value = self.take(key)?;
        let flag = value.as_bool();
        if flag.is_none() {
            self.record_error(key, value, "true or false");
        }
        flag
    }

    /// Reads an integer that may be absent.
    pub(crate) fn whole_number(
        &mut self,
        key: &'static str,
        allowed: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.take(key)?;
        let number = value.as_integer().and_then(|number| u64::try_from(number).ok());
        let in_range = number.filter(|number| allowed.contains(number));
        if in_range.is_none() {
            let bounds = format!("a whole number from {} to {}", allowed.start(), allowed.end());
            self.record_error(key, value, bounds);
        }
        in_range
    }

    /// Reads a duration in milliseconds that may be absent.
    pub(crate) fn duration_ms(
        &mut self,
        key: &'static str,
        allowed: RangeInclusive<u64>,
    ) -> Option<Duration> {
        self.whole_number(key, allowed).map(Duration::from_millis)
    }

    /// Records an error.
    pub(crate) fn record_error(
        &mut self,
        key: &str,
        value: impl fmt::Display,
        allowed: impl fmt::Display,
    ) {
        self.errors.push(SettingsError::new(&self.file, key, value, allowed));
    }

    /// Finishes reading.
    ///
    /// # Errors
    ///
    /// Returns all errors, including one for each unknown key.
    pub(crate) fn finish(mut self) -> Result<(), Vec<SettingsError>> {
        let allowed = format!("one of {}", self.known.join(", "));
        for key in self.unknown_keys() {
            self.record_error(&key, "an unknown key", &allowed);
        }
        if self.errors.is_empty() {
            Ok(())
        } else {
            Err(self.errors)
        }
    }

    /// Removes a value from the table and marks its key as known.
    fn take(&mut self, key: &'static str) -> Option<Value> {
        self.known.push(key);
        match key.split_once('.') {
            None => self.root.remove(key),
            Some((table, inner)) => self.root.get_mut(table)?.as_table_mut()?.remove(inner),
        }
    }

    fn unknown_keys(&self) -> Vec<String> {
        let mut keys = Vec::new();
        for (key, value) in &self.root {
            match value {
                Value::Table(table) if self.is_table(key) => {
                    keys.extend(table.keys().map(|inner| format!("{key}.{inner}")));
                }
                _ => keys.push(key.clone()),
            }
        }
        keys
    }

    fn is_table(&self, name: &str) -> bool {
        self.known.iter().any(|key| key.split_once('.').is_some_and(|(table, _)| table == name))
    }
}

fn line_number(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}
