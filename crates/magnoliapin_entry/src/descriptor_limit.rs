//! The operating system's limit on open file descriptors.

use std::fs;

const LIMITS_FILE: &str = "/proc/self/limits";
const LIMIT_NAME: &str = "Max open files";

/// Returns the soft limit of this process; `None` if it is unknown or unlimited.
pub(crate) fn descriptor_limit() -> Option<usize> {
    parse_limit(&fs::read_to_string(LIMITS_FILE).ok()?)
}

fn parse_limit(text: &str) -> Option<usize> {
    let line = text.lines().find_map(|line| line.strip_prefix(LIMIT_NAME))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
#[path = "descriptor_limit_tests.rs"]
mod tests;
