//! Wire adapter: decodes batches into inputs of the decision module and encodes what it hands back. It decides nothing.
//! A batch is a line of JSON on standard input; each gets a reply, flushed, on standard output; the adapter ends with
//! its input.

mod batch;
mod decode;
mod encode;
mod error;
mod instance;

use batch::{answer, Instances};
use error::WireError;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn serve() -> Result<(), WireError> {
    let mut instances = Instances::new();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for line in io::stdin().lock().lines() {
        let line = line?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = answer(&line, &mut instances)?;
        serde_json::to_writer(&mut out, &reply).map_err(io::Error::from)?;
        out.write_all(b"\n")?;
        out.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
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
