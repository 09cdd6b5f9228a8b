//! The scenario: each form and size in a process of its own.

use super::measure::measure;
use super::versions::{Journal, Maps, Texts, Trees, Vectors};
use crate::report::{Report, ScenarioError};
use clap::ValueEnum;
use serde_json::Value;
use std::process::Command;

const SIZES: [usize; 4] = [5, 5_370, 17_500, 53_700]; // entries

/// What a version could be stored as.
#[derive(ValueEnum, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Form {
    /// A persistent ordered map; versions share nodes
    Map,
    /// A sorted vector; versions share names, each is a copy
    Vector,
    /// One hash map, and for each version what it changed
    Journal,
    /// A tree of JSON for each version
    Tree,
    /// A text for each version
    Text,
}

fn measure_form(form: Form, size: usize) -> Result<Value, ScenarioError> {
    match form {
        Form::Map => measure::<Maps>(size),
        Form::Vector => measure::<Vectors>(size),
        Form::Journal => measure::<Journal>(size),
        Form::Tree => measure::<Trees>(size),
        Form::Text => measure::<Texts>(size),
    }
}

/// Which form, and how many entries, a process measures; without, one is started for each.
#[derive(clap::Args, Clone, Copy, Debug)]
pub struct FormOptions {
    #[arg(long, global = true, value_enum, hide = true)]
    form: Option<Form>,
    #[arg(long = "of", global = true, hide = true, default_value_t = 5)]
    entries: usize,
}

/// Plays it.
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
            report.rule("a change of one entry is not one difference", output["figures"]["differing"] == 1);
            rows.push(output["figures"].clone());
        }
        report.set(&name, rows.into());
    }
    Ok(())
}
