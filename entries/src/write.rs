//! Writer for the text form of steps and complete versions: one JSON object per line, with the platform's field names.

use crate::change::Step;
use crate::configuration::Configuration;
use crate::encode::{encode_change, encode_globals_line, encode_method, encode_tenant};
use std::fmt;

/// Returns a step as text; [`read_step`](crate::read_step) reads it back to an equal step.
pub fn write_step(step: &Step) -> String {
    let mut text = step_header(step);
    for change in &step.changes {
        // Writing to a `String` cannot fail.
        encode_change(change, &mut text).unwrap_or_default();
    }
    text
}

/// Returns the first line of a step, which names the version that it applies to; empty if the step names none.
fn step_header(step: &Step) -> String {
    match (step.base, step.hash) {
        (None, None) => String::new(),
        (Some(base), None) => format!("{{\"base\":{base}}}\n"),
        (None, Some(hash)) => format!("{{\"hash\":\"{hash}\"}}\n"),
        (Some(base), Some(hash)) => format!("{{\"base\":{base},\"hash\":\"{hash}\"}}\n"),
    }
}

/// Writes a complete version as lines, the global settings first.
/// [`read_configuration`](crate::read_configuration) reads them back to an equal version.
///
/// # Errors
/// Returns the error of `to`.
pub fn write_configuration(configuration: &Configuration, to: &mut dyn fmt::Write) -> fmt::Result {
    encode_globals_line(configuration.globals(), to)?;
    for (name, method) in configuration.methods() {
        encode_method(name, method, to)?;
    }
    for (name, quota) in configuration.tenants() {
        encode_tenant(name, quota, to)?;
    }
    Ok(())
}
