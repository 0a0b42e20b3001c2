//! Takes values out of a TOML table and gathers every fault on the way.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use toml::Table;
use toml::Value;

use crate::settings::SettingsFault;

/// Reads a settings file key by key.
///
/// Keys of a table are named with a dot, such as `log.level`. A key that was never asked for is a
/// fault at the end.
#[derive(Debug)]
pub(crate) struct SettingsReader {
    file: String,
    root: Table,
    faults: Vec<SettingsFault>,
    known: Vec<&'static str>,
}

impl SettingsReader {
    /// Reads the text as TOML.
    ///
    /// # Errors
    ///
    /// Returns a fault if it is no TOML.
    pub(crate) fn new(file: &str, text: &str) -> Result<Self, Vec<SettingsFault>> {
        let root = text.parse::<Table>().map_err(|error| {
            let line = error.span().map_or(1, |span| line_number(text, span.start));
            let found = format!("line {line}: {}", error.message());
            vec![SettingsFault::new(file, "", found, "a TOML file")]
        })?;
        Ok(Self { file: file.to_owned(), root, faults: Vec::new(), known: Vec::new() })
    }

    /// Takes a text that must be there and parses it.
    pub(crate) fn required<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        let before = self.faults.len();
        let value = self.optional(key, allowed);
        if value.is_none() && self.faults.len() == before {
            self.fault(key, "nothing", allowed);
        }
        value
    }

    /// Takes a text that may be absent and parses it.
    pub(crate) fn optional<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        let value = self.take(key)?;
        let parsed = value.as_str().and_then(|text| text.parse().ok());
        if parsed.is_none() {
            self.fault(key, value, allowed);
        }
        parsed
    }

    /// Takes a text that may be absent.
    pub(crate) fn text(&mut self, key: &'static str) -> Option<String> {
        self.optional(key, "a text")
    }

    /// Takes a text that no fault may show.
    pub(crate) fn secret(&mut self, key: &'static str) -> Option<String> {
        match self.take(key)? {
            Value::String(text) => Some(text),
            _ => {
                self.fault(key, "a hidden value that is no text", "a text");
                None
            }
        }
    }

    /// Takes a yes or no that may be absent.
    pub(crate) fn flag(&mut self, key: &'static str) -> Option<bool> {
        let value = self.take(key)?;
        let flag = value.as_bool();
        if flag.is_none() {
            self.fault(key, value, "true or false");
        }
        flag
    }

    /// Takes a whole number that may be absent.
    pub(crate) fn whole_number(
        &mut self,
        key: &'static str,
        allowed: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.take(key)?;
        let number = value.as_integer().and_then(|number| u64::try_from(number).ok());
        let inside = number.filter(|number| allowed.contains(number));
        if inside.is_none() {
            let bounds = format!("a whole number from {} to {}", allowed.start(), allowed.end());
            self.fault(key, value, bounds);
        }
        inside
    }

    /// Takes a span of time in milliseconds that may be absent.
    pub(crate) fn millis(
        &mut self,
        key: &'static str,
        allowed: RangeInclusive<u64>,
    ) -> Option<Duration> {
        self.whole_number(key, allowed).map(Duration::from_millis)
    }

    /// Notes a fault.
    pub(crate) fn fault(
        &mut self,
        key: &str,
        value: impl fmt::Display,
        allowed: impl fmt::Display,
    ) {
        self.faults.push(SettingsFault::new(&self.file, key, value, allowed));
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Returns every fault, with one for each key that is unknown.
    pub(crate) fn finish(mut self) -> Result<(), Vec<SettingsFault>> {
        let allowed = format!("one of {}", self.known.join(", "));
        for key in self.unknown_keys() {
            self.fault(&key, "an unknown key", &allowed);
        }
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(self.faults)
        }
    }

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
