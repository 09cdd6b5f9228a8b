//! The operator's file, in the manner of classic daemons: one directive a line, `#` begins a comment, a line in
//! brackets begins a section. Text in, typed values out; nothing here opens anything but in [`read_secret`].
//!
//! ```
//! let file = asterrill_operator_config::parse("a.conf", "[broker]\naddress 127.0.0.1:5672\nuser u\npassword-file /p\n\
//!     [queue stock]\nmethod stock-update # a comment\nbound 10s\n").unwrap();
//! assert_eq!(file.broker.unwrap().queues[0].processing_timeout, 10_000_000);
//! let wrong = asterrill_operator_config::parse("a.conf", "[broker]\nheartbeat 10").unwrap_err();
//! assert_eq!(wrong.to_string(), "a.conf:2: heartbeat wants a time with its unit, such as 10s or 250ms, not \"10\"");
//! ```

mod broker;
mod changes;
mod fleet;
mod lines;
mod members;
mod recovery;
mod secret;
#[cfg(test)]
mod tests;
mod units;

pub use broker::{Backoff, BrokerConfig, DedupWindow, QueueConfig, RedeliveryPolicy, ValueSource};
pub use changes::{ChangesConfig, LogFormat};
pub use fleet::FleetConfig;
pub use lines::ParseError;
pub use members::MembershipConfig;
pub use recovery::RecoverySettings;
pub use secret::{read_secret, SecretError};

use lines::{Lines, Section};

/// All that a file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    pub broker: Option<BrokerConfig>,
    pub changes: ChangesConfig,
    /// How it comes back; none for as on the platform.
    pub recovery: Option<RecoverySettings>,
    /// How it knows the others; none for as on the platform.
    pub members: Option<MembershipConfig>,
    /// Settings and lists on which backends agree; none for each by itself.
    pub fleet: Option<FleetConfig>,
}

/// Reads the text of the file of this name. An error names the file, the line and the mistake.
pub fn parse(name: &str, text: &str) -> Result<OperatorConfig, ParseError> {
    let mut lines = Lines::new(name, text)?;
    let mut file = OperatorConfig::default();
    while let Some(section) = lines.section()? {
        match (section.kind(), section.name()) {
            ("broker", None) if file.broker.is_none() => file.broker = Some(broker::broker(section)?),
            ("broker", None) => return Err(section.error("there is a section [broker] already")),
            ("broker", Some(_)) => return Err(section.error("[broker] takes no name")),
            ("changes", None) => file.changes.read(section)?,
            ("log", None) => file.changes.read_log(section)?,
            ("recovery", None) if file.recovery.is_none() => {
                file.recovery = Some(RecoverySettings::read(section)?)
            }
            ("recovery", None) => return Err(section.error("there is a section [recovery] already")),
            ("members", None) if file.members.is_none() => {
                file.members = Some(MembershipConfig::read(section)?)
            }
            ("members", None) => return Err(section.error("there is a section [members] already")),
            ("fleet", None) if file.fleet.is_none() => file.fleet = Some(FleetConfig::read(section)?),
            ("fleet", None) => return Err(section.error("there is a section [fleet] already")),
            ("changes" | "log" | "recovery" | "members" | "fleet", Some(_)) => {
                return Err(section.error(&format!("[{}] takes no name", section.kind())))
            }
            ("queue", None) => return Err(section.error("a queue wants its name: [queue NAME]")),
            ("queue", Some(_)) => match &mut file.broker {
                Some(broker) => broker.take(section)?,
                None => return Err(section.error("a queue wants the section [broker] before it")),
            },
            (other, _) => {
                let text = format!(
                    "there is no section [{other}]; there are [broker], [queue NAME], [changes], \
                     [recovery], [members], [fleet] and [log]"
                );
                return Err(section.error(&text));
            }
        }
    }
    if file.fleet.is_some() && (file.members.is_none() || file.changes.state_dir.is_none()) {
        return Err(lines.error("[fleet] wants [members], and state in [changes]"));
    }
    if let Some(broker) = &file.broker {
        broker.whole(&lines)?;
    }
    Ok(file)
}

/// What a section's directives are read with.
pub(crate) type Directives<'a> = Section<'a>;
