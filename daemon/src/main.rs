//! Entry point of asterrilld, the daemon that serves one backend.
//!
//! Exits with code 0 after a graceful shutdown.

mod account_slots;
mod agent_session;
mod arguments;
mod change;
mod clocks;
mod connection;
mod connection_limits;
mod control_loop;
mod control_request;
mod control_socket;
mod core;
mod deployment;
mod dispatcher;
mod durable_file;
mod ids;
mod load_report;
mod logging;
mod membership;
mod name_table;
mod operator;
mod operator_requests;
mod outbound;
mod peer_addresses;
mod queues;
mod recovery;
mod service_stats;
mod shutdown;
mod sidecar_registry;
mod signals;
mod startup;
mod stats;
mod store;
mod tasks;
#[cfg(test)]
mod tests;
mod upstream;

use crate::arguments::Arguments;
use asterrill_settings::SettingsError;
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic is always a defect. The process aborts, because a restart is better than serving without one of its
    // components.
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("asterrilld: {panic}");
        std::process::abort();
    }));
    let arguments = <Arguments as clap::Parser>::parse();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("asterrilld: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), SettingsError> {
    let operator_file = arguments.file.as_deref().map(operator::read).transpose()?.unwrap_or_default();
    let (log, guard) = logging::start(operator_file.config.changes.log_format);
    let result = startup::run(&log, arguments, operator_file);
    // Flushes the log to standard error before the process exits.
    drop(log);
    drop(guard);
    result
}
