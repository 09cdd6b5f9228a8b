//! The sections `[changes]` and `[log]`.

use crate::lines::{Directive, Mistake};
use crate::units::{count_in, time_in};
use crate::Directives;
use std::path::PathBuf;

const S: u64 = 1_000_000;

/// The form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    #[default]
    Plain,
    Json,
}

/// How changes of the configuration are taken. Times are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Where operators are listened to; none for nowhere.
    pub control: Option<PathBuf>,
    /// Where versions are kept over restarts; none for nowhere.
    pub state: Option<PathBuf>,
    pub probation: u64,
    /// By how much a figure may differ from the running one unless forced.
    pub factor: u64,
    pub form: Form,
    control_line: usize,
}

impl Default for Changes {
    fn default() -> Changes {
        Changes {
            control: None,
            state: None,
            probation: 30 * S,
            factor: 10,
            form: Form::Plain,
            control_line: 0,
        }
    }
}

fn path(of: &Directive<'_>) -> Result<PathBuf, Mistake> {
    let word = of.one()?;
    if !word.starts_with('/') {
        let name = of.name();
        return Err(of.mistake(format!("{name} wants a path from the root, not {word:?}")));
    }
    Ok(word.into())
}

impl Changes {
    pub(crate) fn read(&mut self, mut section: Directives<'_>) -> Result<(), Mistake> {
        if self.control_line > 0 {
            let line = self.control_line;
            return Err(section.mistake(&format!("[changes] stands in line {line} already")));
        }
        self.control_line = section.line();
        for directive in section.take() {
            section.once(&directive)?;
            match directive.name() {
                "control" => self.control = Some(path(&directive)?),
                "state" => self.state = Some(path(&directive)?),
                "probation" => self.probation = time_in(&directive, directive.one()?, S, 3600 * S)?,
                "factor" => self.factor = count_in(&directive, directive.one()?, 2, 1000)?,
                other => return Err(directive.mistake(format!("[changes] has no directive {other}"))),
            }
        }
        Ok(())
    }
    pub(crate) fn read_log(&mut self, mut section: Directives<'_>) -> Result<(), Mistake> {
        for directive in section.take() {
            section.once(&directive)?;
            match (directive.name(), directive.one()?) {
                ("format", "plain") => self.form = Form::Plain,
                ("format", "json") => self.form = Form::Json,
                ("format", other) => {
                    return Err(directive.mistake(format!("format is plain or json, not {other}")))
                }
                (other, _) => return Err(directive.mistake(format!("[log] has no directive {other}"))),
            }
        }
        Ok(())
    }
}
