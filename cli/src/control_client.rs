//! Requests to the daemon, over its control socket.

use crate::outcome::{ExitStatus, Outcome};
use asterrill_rollout::SimpleCommand;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The version of the protocol that is spoken.
const PROTOCOL_VERSION: u64 = 1;
/// A request is taken within this, and its answer comes within as long.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of an answer at the most.
const MAX_REPLY_BYTES: u64 = 1 << 20;

/// What is handed in as a change.
pub enum ChangeSource {
    /// A step, one entry a line.
    Step(String),
    /// A file's whole text.
    Text(String),
}

/// One request of the control socket.
pub enum Request {
    /// A command without arguments.
    Simple(SimpleCommand),
    /// What a change would mean.
    Diff(ChangeSource),
    /// Stage a change.
    Stage {
        /// What is handed in.
        source: ChangeSource,
        /// Only if this version runs, or is the newest.
        base: Option<u64>,
        /// Take it although it is risky, or was rolled back before.
        force: bool,
        /// Wait behind a version on probation.
        queue: bool,
    },
    /// Let the staged version run.
    Apply {
        /// Only if this version runs.
        if_base: Option<u64>,
        /// Length of the probation, in microseconds.
        probation_us: Option<u64>,
    },
    /// The entries of a list.
    List(String),
    /// Change entries of a list.
    ListChange {
        /// The name of the list.
        list: String,
        /// Only if this version runs, or is the newest.
        base: Option<u64>,
        /// Objects with `key`, `standing` and `until`.
        entries: Vec<Value>,
    },
    /// Return to what an earlier agreed version said.
    FleetUndo {
        /// That version.
        to: u64,
        /// Only if this version runs, or is the newest.
        base: Option<u64>,
    },
}

impl Request {
    fn into_json(self) -> Value {
        let mut object = match self {
            Request::Simple(command) => json!({"do": command.as_str()}),
            Request::Diff(source) => with_source(json!({"do": "diff"}), source),
            Request::Stage { source, base, force, queue } => {
                with_source(json!({"do": "stage", "base": base, "force": force, "queue": queue}), source)
            }
            Request::Apply { if_base, probation_us } => {
                json!({"do": "apply", "if_base": if_base, "probation_us": probation_us})
            }
            Request::List(list) => json!({"do": "list", "list": list}),
            Request::ListChange { list, base, entries } => {
                json!({"do": "list-change", "list": list, "base": base, "entries": entries})
            }
            Request::FleetUndo { to, base } => json!({"do": "fleet-undo", "to": to, "base": base}),
        };
        object["v"] = json!(PROTOCOL_VERSION);
        object
    }
}

fn with_source(mut object: Value, source: ChangeSource) -> Value {
    match source {
        ChangeSource::Step(step) => object["step"] = Value::String(step),
        ChangeSource::Text(text) => object["text"] = Value::String(text),
    }
    object
}

/// Speaks to the daemon.
pub struct ControlClient {
    socket: Option<PathBuf>,
}

impl ControlClient {
    /// For a socket; `None` where none was named, which fails every request.
    pub fn new(socket: Option<PathBuf>) -> ControlClient {
        ControlClient { socket }
    }

    /// Sends one request, and waits for its answer.
    pub fn send(&self, request: Request) -> Outcome {
        let Some(path) = &self.socket else {
            return Outcome::error(ExitStatus::Usage, "name the control socket: --socket");
        };
        let reply = exchange(path, &request.into_json()).map_err(|e| e.to_string()).and_then(|line| {
            serde_json::from_str(&line).map_err(|_| "it said nothing that makes sense".to_string())
        });
        match reply {
            Ok(reply) => Outcome::of(reply),
            Err(why) => Outcome::error(ExitStatus::Unreachable, format!("{}: {why}", path.display())),
        }
    }
}

fn exchange(path: &Path, request: &Value) -> std::io::Result<String> {
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    // What is rejected before it was read to its end is answered all the same.
    let written = stream.write_all(format!("{request}\n").as_bytes());
    let mut line = String::new();
    let read = BufReader::new(stream).take(MAX_REPLY_BYTES).read_line(&mut line);
    if line.is_empty() {
        written?;
    }
    read.map(|_| line)
}
