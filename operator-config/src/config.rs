//! A whole operator's file.

use crate::broker::BrokerConfig;
use crate::changes::ChangesConfig;
use crate::error::ParseError;
use crate::fleet::FleetConfig;
use crate::members::MembershipConfig;
use crate::recovery::RecoverySettings;
use crate::section::{Section, SectionReader};

/// All that an operator's file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The broker whose queues are consumed; `None` for none.
    pub broker: Option<BrokerConfig>,
    /// How changes of the configuration are accepted, and the format of the log.
    pub changes: ChangesConfig,
    /// How the server recovers; `None` for the platform's way.
    pub recovery: Option<RecoverySettings>,
    /// Membership; `None` for the platform's way.
    pub members: Option<MembershipConfig>,
    /// Consensus on settings and lists; `None` where each backend has its own.
    pub fleet: Option<FleetConfig>,
}

/// Parses the text of the file of this name.
///
/// # Errors
/// [`ParseError`] names the file, the line and the mistake.
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
            ("queue", None) => Err(section.error("a queue wants its name: [queue NAME]")),
            ("queue", Some(_)) => match &mut self.broker {
                Some(broker) => broker.read_queue(section),
                None => Err(section.error("a queue wants the section [broker] before it")),
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
                "there is no section [{other}]; there are [broker], [queue NAME], [changes], \
                 [recovery], [members], [fleet] and [log]"
            ))),
        }
    }

    /// Checks what depends on several sections.
    fn check(&self, sections: &SectionReader<'_>) -> Result<(), ParseError> {
        if self.fleet.is_some() && (self.members.is_none() || self.changes.state_dir.is_none()) {
            return Err(sections.error("[fleet] wants [members], and state in [changes]"));
        }
        match &self.broker {
            Some(broker) if broker.queues.is_empty() => {
                let error = sections.error("[broker] without a [queue NAME] has nothing to do");
                Err(ParseError { line: broker.line(), ..error })
            }
            _ => Ok(()),
        }
    }
}

/// Reads a section that may stand once.
fn read_once<'a, T>(
    slot: &mut Option<T>, section: Section<'a>, read: impl FnOnce(Section<'a>) -> Result<T, ParseError>,
) -> Result<(), ParseError> {
    if slot.is_some() {
        return Err(section.error(format!("there is a section [{}] already", section.kind())));
    }
    *slot = Some(read(section)?);
    Ok(())
}
