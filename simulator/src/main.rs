//! JSON adapter for the decision module.
//!
//! It decodes batches into inputs and encodes the outcomes, and makes no decisions itself. A batch is a line of JSON on
//! standard input. Each batch gets one reply line on standard output, which is flushed. The adapter exits at the end of
//! its input.

mod batch;
mod decode;
mod encode;
mod error;
mod instance;

use batch::{process_batch, Instances};
use error::WireError;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn run() -> Result<(), WireError> {
    let mut instances = Instances::new();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for line in io::stdin().lock().lines() {
        let line = line?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = process_batch(&line, &mut instances)?;
        serde_json::to_writer(&mut out, &reply).map_err(io::Error::from)?;
        out.write_all(b"\n")?;
        out.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("asterrill-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
#[path = "tests/batch.rs"]
mod tests;
