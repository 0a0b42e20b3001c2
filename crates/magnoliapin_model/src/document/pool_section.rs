//! One pool of instances.

use super::document_error::ErrorList;
use super::section_reader::SectionReader;
use super::section_text::SectionText;
use crate::NumberRange;
use crate::SectionName;
use crate::TeamId;

const MAX_IMAGE_BYTES: usize = 200;
const ALLOWED_IMAGE: &str = "at most 200 visible ASCII characters without quotes or backslashes";

crate::plain_data! {
    /// One pool of instances.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct PoolSection {
        /// Team that owns this section; with `None`, any operator may change it.
        pub owner: Option<TeamId>,
        /// Target number of instances of the pool.
        pub instances: u32,
        /// Availability budget: maximum number of its instances that may be unavailable at once.
        pub max_unavailable: u32,
        /// Whether the pool has no queues and only lends its instances to other pools.
        pub spare: bool,
        /// Image that the pool's instances run; if empty, each instance keeps its current image.
        pub image: String,
    }
}

impl PoolSection {
    /// Names of the section's keys, in canonical order.
    pub const KEYS: &'static [&'static str] =
        &["owner", "instances", "max_unavailable", "spare", "image"];

    /// Allowed values of `instances`.
    pub const INSTANCES: NumberRange = NumberRange::new(1, 10_000, "instances");

    pub(super) fn read(mut reader: SectionReader<'_>) -> Self {
        reader.require("instances", Self::INSTANCES);
        let section = Self {
            owner: reader.name("owner"),
            instances: reader.number("instances", Self::INSTANCES, 0),
            max_unavailable: reader.number("max_unavailable", Self::INSTANCES, 0),
            spare: reader.flag("spare", false),
            image: reader.text("image"),
        };
        reader.finish(Self::KEYS);
        section
    }

    pub(super) fn check(&self, name: SectionName, errors: &mut ErrorList) {
        errors.check_range(name, "instances", self.instances, Self::INSTANCES);
        let has_instances = Self::INSTANCES.contains(self.instances.into());
        if has_instances && self.max_unavailable >= self.instances {
            let allowed = format!("a whole number below instances ({})", self.instances);
            errors.add(name, "max_unavailable", self.max_unavailable, allowed);
        }
        if !is_allowed_image(&self.image) {
            errors.add(name, "image", format!("{:?}", self.image), ALLOWED_IMAGE);
        }
    }

    pub(super) fn write(&self, text: &mut SectionText) {
        text.optional("owner", self.owner);
        text.number("instances", self.instances);
        text.number("max_unavailable", self.max_unavailable);
        text.line("spare", self.spare);
        text.line("image", self.image.as_str());
    }
}

fn is_allowed_image(image: &str) -> bool {
    let is_allowed_byte = |byte: u8| byte.is_ascii_graphic() && !b"\"'\\".contains(&byte);
    image.len() <= MAX_IMAGE_BYTES && image.bytes().all(is_allowed_byte)
}
