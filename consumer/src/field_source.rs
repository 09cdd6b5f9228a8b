//! Source from which a value of a delivery is read.

use asterrill_protocol::amqp::MessageProperties;
use std::collections::BTreeMap;

/// Source from which a value of a delivery is read: a header, or a default for the whole queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FieldSource {
    /// Name of the header; none to always use the default.
    pub header: Option<String>,
    /// Replacements of values of the header. A value that is not listed is used as it is.
    pub aliases: BTreeMap<String, String>,
    /// Value to use if the delivery lacks the header.
    pub default: Option<String>,
}

impl FieldSource {
    /// Returns the value for a delivery with these properties.
    pub(crate) fn read<'a>(&'a self, properties: &'a MessageProperties) -> Option<&'a str> {
        let value = self.header.as_ref().and_then(|name| properties.headers.get(name));
        match value {
            Some(value) => Some(self.aliases.get(value).unwrap_or(value)),
            None => self.default.as_deref(),
        }
    }
}
