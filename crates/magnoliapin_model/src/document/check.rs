//! Checks of a whole document before it is accepted.

use std::fmt;

use crate::ConfigDocument;
use crate::SectionName;

crate::plain_data! {
    /// One error in a document: where it is, what was found and what is allowed.
    pub struct DocumentError {
        /// Section, such as `queues.booking`; empty if the text is no TOML.
        pub section: String,
        /// Key inside the section.
        pub key: String,
        /// The value that was found.
        pub value: String,
        /// What is allowed.
        pub allowed: String,
    }
}

impl fmt::Display for DocumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "section {:?}, key {:?}: value {} is not allowed; allowed: {}",
            self.section, self.key, self.value, self.allowed
        )
    }
}

impl std::error::Error for DocumentError {}

impl ConfigDocument {
    /// Reads a document and checks it whole.
    ///
    /// # Errors
    ///
    /// Returns every error that was found.
    pub fn parse(text: &str) -> Result<Self, Vec<DocumentError>> {
        let document: Self = toml::from_str(text).map_err(|error| {
            vec![DocumentError {
                section: String::new(),
                key: String::new(),
                value: error.message().to_owned(),
                allowed: "a TOML document of the described form".to_owned(),
            }]
        })?;
        let errors = document.check();
        if errors.is_empty() {
            Ok(document)
        } else {
            Err(errors)
        }
    }

    /// Checks the document whole and returns every error.
    pub fn check(&self) -> Vec<DocumentError> {
        let mut errors = Vec::new();
        for (queue, section) in &self.queues {
            if !self.pools.contains_key(&section.pool) {
                errors.push(DocumentError {
                    section: SectionName::Queue(*queue).to_string(),
                    key: "pool".to_owned(),
                    value: format!("{:?}", section.pool.as_str()),
                    allowed: "the name of a section [pools.*]".to_owned(),
                });
            }
        }
        errors
    }
}
