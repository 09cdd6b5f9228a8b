//! `asterrill-lab SCENARIO --seed N [--json]`: plays a scenario with `asterrilld` among stand-ins on loopback, and
//! prints what was found, as one JSON object on the last line with `--json`. The exit code is 1 if a rule broke,
//! and 2 if the scenario could not be played.

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

const NOT_PLAYED: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut report = Report::default();
    let scenario = arguments.scenario;
    if let Err(fault) = dispatch::run(scenario, &mut report, &arguments) {
        eprintln!("asterrill-lab: {}: {fault}", scenario.name());
        return ExitCode::from(NOT_PLAYED);
    }
    let broken = report.broken().to_vec();
    let value = report.json(scenario.name(), arguments.seed);
    if arguments.json {
        println!("{value}");
    } else if let Some(all) = value.as_object() {
        all.iter().for_each(|(name, value)| println!("{name:24} {value}"));
    }
    for rule in &broken {
        eprintln!("broken: {rule}");
    }
    ExitCode::from(u8::from(!broken.is_empty()))
}
