//! Errors of a document, each with its location and what is allowed there.

use std::fmt;

use crate::SectionName;

/// Maximum number of errors that one check reports; the last of them then states that the list
/// was cut.
pub const MAX_DOCUMENT_ERRORS: usize = 500;

/// Maximum length of each reported text, in characters.
const MAX_TEXT_CHARS: usize = 80;

crate::plain_data! {
    /// One error in a document: its location, what was found and what is allowed.
    pub struct DocumentError {
        /// Section, such as `queues.booking`; empty if the error is not inside a section.
        pub section: String,
        /// Key inside the section; empty if the error concerns the section as a whole.
        pub key: String,
        /// The value that was found, or what is wrong with it.
        pub value: String,
        /// What is allowed.
        pub allowed: String,
    }
}

impl fmt::Display for DocumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.section.is_empty() {
            write!(formatter, "section [{}], ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(formatter, "key {:?}, ", self.key)?;
        }
        write!(formatter, "found {}; allowed: {}", self.value, self.allowed)
    }
}

impl std::error::Error for DocumentError {}

/// Collects errors, at most [`MAX_DOCUMENT_ERRORS`] of them.
#[derive(Debug, Default)]
pub(super) struct ErrorList {
    errors: Vec<DocumentError>,
}

impl ErrorList {
    /// Adds an error about one key of a section.
    pub(super) fn add(
        &mut self,
        section: SectionName,
        key: &str,
        value: impl fmt::Display,
        allowed: impl fmt::Display,
    ) {
        self.push(DocumentError {
            section: section.to_string(),
            key: key.to_owned(),
            value: value.to_string(),
            allowed: allowed.to_string(),
        });
    }

    /// Adds an error, with its texts truncated, unless the list is full.
    pub(super) fn push(&mut self, mut error: DocumentError) {
        if self.errors.len() + 1 > MAX_DOCUMENT_ERRORS {
            return;
        }
        if self.errors.len() + 1 == MAX_DOCUMENT_ERRORS {
            error = too_many_errors();
        }
        error.section = truncated(&error.section);
        error.key = truncated(&error.key);
        error.value = truncated(&error.value);
        self.errors.push(error);
    }

    /// Adds `errors`, except those that follow from an error already in the list.
    pub(super) fn append_new(&mut self, errors: Vec<DocumentError>) {
        let existing_count = self.errors.len();
        for error in errors {
            if !self.errors[..existing_count].iter().any(|earlier| is_cause(earlier, &error)) {
                self.push(error);
            }
        }
    }

    /// Returns whether there are no errors.
    pub(super) fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    pub(super) fn into_vec(self) -> Vec<DocumentError> {
        self.errors
    }
}

/// Returns whether `error`, found by a check, follows from the unreadable key of `earlier`.
fn is_cause(earlier: &DocumentError, error: &DocumentError) -> bool {
    let is_same_key = earlier.section == error.section && earlier.key == error.key;
    let is_missing_operator = error.section == "teams" && earlier.section.starts_with("teams");
    let is_unused_pool = error.key == "spare" && earlier.key == "pool";
    is_same_key || is_missing_operator || is_unused_pool
}

fn too_many_errors() -> DocumentError {
    DocumentError {
        section: String::new(),
        key: String::new(),
        value: format!("{MAX_DOCUMENT_ERRORS} errors or more"),
        allowed: "mend the errors above to see the others".to_owned(),
    }
}

fn truncated(text: &str) -> String {
    if text.chars().count() <= MAX_TEXT_CHARS {
        return text.to_owned();
    }
    let start: String = text.chars().take(MAX_TEXT_CHARS).collect();
    format!("{start}..")
}
