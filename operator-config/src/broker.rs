//! The section `[broker]`: the AMQP broker whose queues are consumed.

use crate::backoff::Backoff;
use crate::directive::Directive;
use crate::error::ParseError;
use crate::queue::QueueConfig;
use crate::section::Section;
use crate::units::{MILLISECOND_US, MINUTE_US, SECOND_US};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum number of queues of a broker.
const MAX_QUEUES: usize = 64;
/// Maximum of the configurable bound for the body of a delivery.
const MAX_BODY_BYTES: u64 = 4096;

/// An AMQP broker and its queues. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokerConfig {
    /// The broker's addresses in order of preference, at least one (`address`).
    pub addresses: Vec<SocketAddr>,
    /// The user to log in as (`user`).
    pub user: String,
    /// The file with that user's password (`password-file`).
    pub password_file: PathBuf,
    /// The virtual host (`virtual-host`).
    pub virtual_host: String,
    /// The heartbeat interval that is proposed to the broker, 1 s to 10 min (`heartbeat`).
    pub heartbeat: u64,
    /// The delays between attempts to connect (`reconnect`).
    pub reconnect_backoff: Backoff,
    /// Maximum length of the body of a delivery, 1 to 4096 bytes (`body`).
    pub max_body_bytes: u64,
    /// The queues to consume from, at least one.
    pub queues: Vec<QueueConfig>,
    /// The line number of the section header, from 1.
    line: usize,
}

impl BrokerConfig {
    /// Reads the section `[broker]`.
    pub(crate) fn read(mut section: Section<'_>) -> Result<BrokerConfig, ParseError> {
        let mut broker = BrokerConfig::with_defaults(section.line());
        for directive in section.take_directives() {
            if directive.name() != "address" {
                section.check_first(&directive)?;
            }
            broker.read_directive(&section, &directive)?;
        }
        let required = [
            ("address", !broker.addresses.is_empty()),
            ("user", section.contains("user")),
            ("password-file", section.contains("password-file")),
        ];
        match required.into_iter().find(|(_, given)| !given) {
            Some((name, _)) => Err(section.error(format!("[broker] requires {name}"))),
            None => Ok(broker),
        }
    }

    fn with_defaults(line: usize) -> BrokerConfig {
        BrokerConfig {
            addresses: Vec::new(),
            user: String::new(),
            password_file: PathBuf::new(),
            virtual_host: "/".into(),
            heartbeat: 10 * SECOND_US,
            reconnect_backoff: Backoff { min: 100 * MILLISECOND_US, max: 10 * SECOND_US },
            max_body_bytes: 2048,
            queues: Vec::new(),
            line,
        }
    }

    fn read_directive(&mut self, section: &Section<'_>, directive: &Directive<'_>) -> Result<(), ParseError> {
        match directive.name() {
            "address" => self.add_address(directive)?,
            "user" => self.user = directive.value()?.into(),
            "password-file" => self.password_file = directive.value()?.into(),
            "virtual-host" => self.virtual_host = directive.value()?.into(),
            "heartbeat" => self.heartbeat = directive.duration(SECOND_US..=10 * MINUTE_US)?,
            "reconnect" => {
                let min_bounds = 10 * MILLISECOND_US..=MINUTE_US;
                self.reconnect_backoff = Backoff::read(directive, min_bounds, 10 * MINUTE_US)?;
            }
            "body" => self.max_body_bytes = directive.size(1..=MAX_BODY_BYTES)?,
            _ => return Err(section.unknown_directive(directive)),
        }
        Ok(())
    }

    fn add_address(&mut self, directive: &Directive<'_>) -> Result<(), ParseError> {
        let address = directive.address()?;
        if self.addresses.contains(&address) {
            return Err(directive.error(format!("duplicate address {address}")));
        }
        self.addresses.push(address);
        Ok(())
    }

    /// Reads a section `[queue NAME]`.
    pub(crate) fn read_queue(&mut self, section: Section<'_>) -> Result<(), ParseError> {
        let name = QueueConfig::read_name(&section)?;
        if let Some(other) = self.queues.iter().find(|queue| queue.name == name) {
            let line = other.line;
            return Err(section.error(format!("duplicate queue {name}; the first is in line {line}")));
        }
        if self.queues.len() >= MAX_QUEUES {
            return Err(section.error(format!("the file has more than {MAX_QUEUES} queues")));
        }
        self.queues.push(QueueConfig::read(name, section)?);
        Ok(())
    }

    /// Returns the broker without its queues, for comparison with another one.
    pub fn without_queues(mut self) -> BrokerConfig {
        self.queues = Vec::new();
        self.line = 0;
        self
    }

    /// Returns the line number of the section header, from 1.
    pub(crate) fn line(&self) -> usize {
        self.line
    }
}
