//! Scenario: measures each form and size in a process of its own.

use super::measure::measure;
use super::versions::{JsonDocuments, PersistentMaps, SortedVectors, Texts, UndoLog};
use crate::report::{Report, ScenarioError};
use clap::ValueEnum;
use serde_json::Value;
use std::process::Command;

/// Numbers of entries.
const SIZES: [usize; 4] = [5, 5_370, 17_500, 53_700];

/// Data structure in which versions can be stored.
#[derive(ValueEnum, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Form {
    /// Persistent ordered map for each version; versions share nodes
    Map,
    /// Sorted vector for each version; versions share the names of entries
    Vector,
    /// Hash map of the newest version, with a log of the entries that each version changed
    Journal,
    /// JSON document for each version
    Tree,
    /// Text for each version
    Text,
}

fn measure_form(form: Form, size: usize) -> Result<Value, ScenarioError> {
    match form {
        Form::Map => measure::<PersistentMaps>(size),
        Form::Vector => measure::<SortedVectors>(size),
        Form::Journal => measure::<UndoLog>(size),
        Form::Tree => measure::<JsonDocuments>(size),
        Form::Text => measure::<Texts>(size),
    }
}

/// Form and number of entries that this process measures. Without a form, the scenario starts a process for each
/// combination.
#[derive(clap::Args, Clone, Copy, Debug)]
pub struct FormOptions {
    #[arg(long, global = true, value_enum, hide = true)]
    form: Option<Form>,
    #[arg(long = "of", global = true, hide = true, default_value_t = 5)]
    entries: usize,
}

/// Measures one form if the options name one. Otherwise starts a process for each form and size, and collects their
/// figures.
pub fn scenario(report: &mut Report, options: FormOptions) -> Result<(), ScenarioError> {
    if let Some(form) = options.form {
        report.set("figures", measure_form(form, options.entries.max(1))?);
        return Ok(());
    }
    for form in Form::value_variants() {
        let name = form.to_possible_value().map(|name| name.get_name().to_string()).unwrap_or_default();
        let mut rows = Vec::new();
        for size in SIZES {
            let mut command = Command::new(std::env::current_exe()?);
            command.args(["scale-forms", "--json", "--form", &name, "--of", &size.to_string()]);
            let output = command.output()?;
            let output: Value = serde_json::from_slice(&output.stdout)?;
            report.rule(
                "versions that differ in one entry do not have exactly one difference",
                output["figures"]["differing"] == 1,
            );
            rows.push(output["figures"].clone());
        }
        report.set(&name, rows.into());
    }
    Ok(())
}
