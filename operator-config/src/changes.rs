//! The sections `[changes]` and `[log]`: configuration changes and logging.

use crate::error::ParseError;
use crate::section::Section;
use crate::units::{HOUR_US, SECOND_US};
use std::path::PathBuf;

/// The format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Plain,
    /// One JSON object per line.
    Json,
}

/// The rules for configuration changes, and the format of the log. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangesConfig {
    /// The socket on which operators' requests are accepted (`control`), if any.
    pub control_socket: Option<PathBuf>,
    /// The directory in which versions persist across restarts (`state`), if any.
    pub state_dir: Option<PathBuf>,
    /// The duration of the probation of a change, 1 s to 1 h (`probation`).
    pub probation: u64,
    /// The factor by which a value may differ from the running one in a change that is not forced, 2 to 1000 (`factor`).
    pub max_change_factor: u64,
    /// The format of the log (`format` in `[log]`).
    pub log_format: LogFormat,
    /// The line number of the `[changes]` header; 0 without that section.
    line: usize,
}

impl Default for ChangesConfig {
    fn default() -> ChangesConfig {
        ChangesConfig {
            control_socket: None,
            state_dir: None,
            probation: 30 * SECOND_US,
            max_change_factor: 10,
            log_format: LogFormat::Plain,
            line: 0,
        }
    }
}

impl ChangesConfig {
    /// Reads the section `[changes]`.
    pub(crate) fn read(&mut self, mut section: Section<'_>) -> Result<(), ParseError> {
        if self.line > 0 {
            return Err(
                section.error(format!("duplicate section [changes]; the first is in line {}", self.line))
            );
        }
        self.line = section.line();
        for directive in section.take_directives() {
            section.check_first(&directive)?;
            match directive.name() {
                "control" => self.control_socket = Some(directive.absolute_path()?),
                "state" => self.state_dir = Some(directive.absolute_path()?),
                "probation" => self.probation = directive.duration(SECOND_US..=HOUR_US)?,
                "factor" => self.max_change_factor = directive.count(2..=1000)?,
                _ => return Err(section.unknown_directive(&directive)),
            }
        }
        Ok(())
    }

    /// Reads the section `[log]`.
    pub(crate) fn read_log(&mut self, mut section: Section<'_>) -> Result<(), ParseError> {
        for directive in section.take_directives() {
            section.check_first(&directive)?;
            self.log_format = match (directive.name(), directive.value()?) {
                ("format", "plain") => LogFormat::Plain,
                ("format", "json") => LogFormat::Json,
                ("format", other) => {
                    return Err(directive.error(format!("format must be plain or json, found {other:?}")));
                }
                _ => return Err(section.unknown_directive(&directive)),
            };
        }
        Ok(())
    }
}
