//! Command line of the lab: `asterrill-lab SCENARIO --seed N [--json]`.
//!
//! Runs a scenario with `asterrilld` and stubs of its dependencies on loopback, and prints the report; with `--json`,
//! as one JSON object on the last line. The exit code is 1 if a rule was broken, and 2 if the scenario could not be
//! run.

mod agent;
mod arguments;
mod backend;
mod broker;
mod control;
mod dispatch;
mod fleet;
mod load;
mod method;
mod node;
mod process;
mod queue;
mod report;
mod reused_ids;
mod rollout;
mod scale;
mod setup;
mod sidecar;
mod stubs;
mod sync;
mod time;

use arguments::Arguments;
use clap::Parser;
use report::Report;
use std::process::ExitCode;

const EXIT_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut report = Report::default();
    let scenario = arguments.scenario;
    if let Err(error) = dispatch::run(scenario, &mut report, &arguments) {
        eprintln!("asterrill-lab: {}: {error}", scenario.name());
        return ExitCode::from(EXIT_NOT_RUN);
    }
    let broken = report.broken().to_vec();
    let value = report.json(scenario.name(), arguments.seed);
    if arguments.json {
        println!("{value}");
    } else if let Some(figures) = value.as_object() {
        figures.iter().for_each(|(name, value)| println!("{name:24} {value}"));
    }
    for rule in &broken {
        eprintln!("broken: {rule}");
    }
    ExitCode::from(u8::from(!broken.is_empty()))
}
