//! Where a value of a delivery is read from.

use asterrill_protocol::amqp::MessageProperties;
use std::collections::BTreeMap;

/// Where a value of a delivery is read from: a header, or a default for the whole queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FieldSource {
    /// The header's name; none to use the default always.
    pub header: Option<String>,
    /// Values of the header that stand for others; one that is not listed stands for itself.
    pub aliases: BTreeMap<String, String>,
    /// The value without the header.
    pub default: Option<String>,
}

impl FieldSource {
    pub(crate) fn read<'a>(&'a self, properties: &'a MessageProperties) -> Option<&'a str> {
        let value = self.header.as_ref().and_then(|name| properties.headers.get(name));
        match value {
            Some(value) => Some(self.aliases.get(value).unwrap_or(value)),
            None => self.default.as_deref(),
        }
    }
}
