//! The parsed operator's file.

use crate::broker::BrokerConfig;
use crate::changes::ChangesConfig;
use crate::error::ParseError;
use crate::fleet::FleetConfig;
use crate::members::MembershipConfig;
use crate::recovery::RecoverySettings;
use crate::section::{Section, SectionReader};

/// The contents of an operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The broker whose queues are consumed, if any.
    pub broker: Option<BrokerConfig>,
    /// The rules for configuration changes, and the format of the log.
    pub changes: ChangesConfig,
    /// The settings of the server's recovery; `None` for the platform's default.
    pub recovery: Option<RecoverySettings>,
    /// The membership of backends; `None` for the platform's default.
    pub members: Option<MembershipConfig>,
    /// Consensus on settings and lists; `None` if each backend has its own.
    pub fleet: Option<FleetConfig>,
}

/// Parses the text of the operator's file `name`.
///
/// # Errors
/// Returns a [`ParseError`] with the file, the line and the reason.
pub fn parse(name: &str, text: &str) -> Result<OperatorConfig, ParseError> {
    let mut sections = SectionReader::new(name, text)?;
    let mut config = OperatorConfig::default();
    while let Some(section) = sections.next_section()? {
        config.read_section(section)?;
    }
    config.check(&sections)?;
    Ok(config)
}

impl OperatorConfig {
    fn read_section(&mut self, section: Section<'_>) -> Result<(), ParseError> {
        match (section.kind(), section.name()) {
            ("queue", None) => Err(section.error("[queue] requires a name: [queue NAME]")),
            ("queue", Some(_)) => match &mut self.broker {
                Some(broker) => broker.read_queue(section),
                None => Err(section.error("[queue NAME] requires a [broker] section before it")),
            },
            (kind @ ("broker" | "changes" | "log" | "recovery" | "members" | "fleet"), Some(_)) => {
                Err(section.error(format!("[{kind}] takes no name")))
            }
            ("broker", None) => read_once(&mut self.broker, section, BrokerConfig::read),
            ("changes", None) => self.changes.read(section),
            ("log", None) => self.changes.read_log(section),
            ("recovery", None) => read_once(&mut self.recovery, section, RecoverySettings::read),
            ("members", None) => read_once(&mut self.members, section, MembershipConfig::read),
            ("fleet", None) => read_once(&mut self.fleet, section, FleetConfig::read),
            (other, _) => Err(section.error(format!(
                "unknown section [{other}]; expected [broker], [queue NAME], [changes], \
                 [recovery], [members], [fleet] or [log]"
            ))),
        }
    }

    /// Checks the constraints between sections.
    fn check(&self, sections: &SectionReader<'_>) -> Result<(), ParseError> {
        if self.fleet.is_some() && (self.members.is_none() || self.changes.state_dir.is_none()) {
            return Err(sections.error("[fleet] requires a [members] section, and state in [changes]"));
        }
        match &self.broker {
            Some(broker) if broker.queues.is_empty() => {
                let error = sections.error("[broker] requires at least one [queue NAME] section");
                Err(ParseError { line: broker.line(), ..error })
            }
            _ => Ok(()),
        }
    }
}

/// Reads a section that may occur once.
fn read_once<'a, T>(
    slot: &mut Option<T>, section: Section<'a>, read: impl FnOnce(Section<'a>) -> Result<T, ParseError>,
) -> Result<(), ParseError> {
    if slot.is_some() {
        return Err(section.error(format!("duplicate section [{}]", section.kind())));
    }
    *slot = Some(read(section)?);
    Ok(())
}
