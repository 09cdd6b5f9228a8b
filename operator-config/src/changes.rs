//! The sections `[changes]` and `[log]`.

use crate::lines::{Directive, ParseError};
use crate::units::{count_in, time_in};
use crate::Directives;
use std::path::PathBuf;

const S: u64 = 1_000_000;

/// The form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    #[default]
    Plain,
    Json,
}

/// How changes of the configuration are taken. Times are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangesConfig {
    /// Where operators are listened to; none for nowhere.
    pub control_socket: Option<PathBuf>,
    /// Where versions are kept over restarts; none for nowhere.
    pub state_dir: Option<PathBuf>,
    pub probation: u64,
    /// By how much a figure may differ from the running one unless forced.
    pub max_change_factor: u64,
    pub log_format: LogFormat,
    control_line: usize,
}

impl Default for ChangesConfig {
    fn default() -> ChangesConfig {
        ChangesConfig {
            control_socket: None,
            state_dir: None,
            probation: 30 * S,
            max_change_factor: 10,
            log_format: LogFormat::Plain,
            control_line: 0,
        }
    }
}

fn path(of: &Directive<'_>) -> Result<PathBuf, ParseError> {
    let word = of.one()?;
    if !word.starts_with('/') {
        let name = of.name();
        return Err(of.error(format!("{name} wants a path from the root, not {word:?}")));
    }
    Ok(word.into())
}

impl ChangesConfig {
    pub(crate) fn read(&mut self, mut section: Directives<'_>) -> Result<(), ParseError> {
        if self.control_line > 0 {
            let line = self.control_line;
            return Err(section.error(&format!("[changes] stands in line {line} already")));
        }
        self.control_line = section.line();
        for directive in section.take() {
            section.once(&directive)?;
            match directive.name() {
                "control" => self.control_socket = Some(path(&directive)?),
                "state" => self.state_dir = Some(path(&directive)?),
                "probation" => self.probation = time_in(&directive, directive.one()?, S, 3600 * S)?,
                "factor" => self.max_change_factor = count_in(&directive, directive.one()?, 2, 1000)?,
                other => return Err(directive.error(format!("[changes] has no directive {other}"))),
            }
        }
        Ok(())
    }
    pub(crate) fn read_log(&mut self, mut section: Directives<'_>) -> Result<(), ParseError> {
        for directive in section.take() {
            section.once(&directive)?;
            match (directive.name(), directive.one()?) {
                ("format", "plain") => self.log_format = LogFormat::Plain,
                ("format", "json") => self.log_format = LogFormat::Json,
                ("format", other) => {
                    return Err(directive.error(format!("format is plain or json, not {other}")))
                }
                (other, _) => return Err(directive.error(format!("[log] has no directive {other}"))),
            }
        }
        Ok(())
    }
}
