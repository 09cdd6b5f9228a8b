//! Command line `asterrill`, which checks and compares configurations, and changes the configuration of a running
//! `asterrilld` over its control socket.
//!
//! Exit codes: 0 done; 1 negative answer (invalid input, rejection or difference); 2 invalid arguments; 3 no answer
//! from the daemon; 4 no majority of the backends answered.
//!
//! | module | purpose |
//! | --- | --- |
//! | `arguments` | the command line |
//! | `input` | files given on the command line |
//! | `offline` | commands that need no daemon |
//! | `changes`, `lists` | commands that change a running daemon |
//! | `control_client` | requests over the control socket |
//! | `outcome`, `display` | the outcome of a command, and its formatting as text |

mod arguments;
mod changes;
mod control_client;
mod display;
mod input;
mod lists;
mod offline;
mod outcome;

use crate::arguments::{Arguments, Command, FleetCommand};
use crate::control_client::{ControlClient, Request};
use crate::outcome::Outcome;
use asterrill_rollout::SimpleCommand;
use clap::{CommandFactory, Parser};
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match &arguments.command {
        Command::Completion { shell } => {
            clap_complete::generate(*shell, &mut Arguments::command(), "asterrill", &mut std::io::stdout());
            return ExitCode::SUCCESS;
        }
        Command::Man => {
            let written = clap_mangen::Man::new(Arguments::command()).render(&mut std::io::stdout());
            return if written.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
        }
        _ => {}
    }
    let json = arguments.json;
    let outcome = run(arguments).unwrap_or_else(|outcome| outcome);
    if json {
        println!("{}", outcome.reply);
    } else if outcome.is_ok() {
        print!("{}", display::format_reply(&outcome.reply));
    } else {
        eprint!("{}", display::format_reply(&outcome.reply));
    }
    ExitCode::from(outcome.status as u8)
}

/// Runs a command. An error is an outcome as well: that of a file that cannot be used.
fn run(arguments: Arguments) -> Result<Outcome, Outcome> {
    let client = ControlClient::new(arguments.socket);
    let simple = |command| Ok(client.send(Request::Simple(command)));
    match &arguments.command {
        Command::Check { file } => offline::check_file(file),
        Command::Diff { old, new: Some(new) } => {
            let mut outcome = offline::compare_files(old, new)?;
            if let (false, Some(fields)) = (arguments.json, outcome.reply.as_object_mut()) {
                fields.remove("entries");
            }
            Ok(outcome)
        }
        Command::Diff { old: file, new: None } => changes::diff_running(&client, file),
        Command::Stage { file, base, force, queue } => changes::stage(&client, file, *base, *force, *queue),
        Command::Apply { file: Some(file), force, if_base, probation } => {
            changes::stage_and_apply(&client, file, *force, *if_base, *probation)
        }
        Command::Apply { file: None, if_base, probation, .. } => {
            Ok(changes::apply(&client, *if_base, *probation))
        }
        Command::Status => simple(SimpleCommand::Status),
        Command::Settle => simple(SimpleCommand::Confirm),
        Command::Undo => simple(SimpleCommand::RollBack),
        Command::Drop => simple(SimpleCommand::Drop),
        Command::History => simple(SimpleCommand::History),
        Command::Members => simple(SimpleCommand::Members),
        Command::Fleet { command: FleetCommand::Status } => simple(SimpleCommand::Fleet),
        Command::Fleet { command: FleetCommand::Undo { to, base } } => {
            Ok(client.send(Request::FleetUndo { to: *to, base: *base }).with_majority_status())
        }
        Command::List { command } => lists::run(&client, command),
        // `main` handles these commands before it calls this function.
        Command::Completion { .. } | Command::Man => Ok(Outcome::from_reply(serde_json::json!({"ok": true}))),
    }
}
