//! Client for the daemon's control socket.

use crate::outcome::{ExitStatus, Outcome};
use asterrill_rollout::SimpleCommand;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The version of the control protocol.
const PROTOCOL_VERSION: u64 = 1;
/// Timeout for sending a request, and for receiving its reply.
const IO_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of a reply, in bytes.
const MAX_REPLY_BYTES: u64 = 1 << 20;

/// The text of a change.
pub enum ChangeSource {
    /// A step, with one entry per line.
    Step(String),
    /// The whole text of a file.
    Text(String),
}

/// One request to the control socket.
pub enum Request {
    /// A command without arguments.
    Simple(SimpleCommand),
    /// Compares a change with the running version.
    Diff(ChangeSource),
    /// Stages a change.
    Stage {
        /// The change to stage.
        source: ChangeSource,
        /// The version that must be running, or be the newest agreed one; `None` for any.
        base: Option<u64>,
        /// Whether to accept the change even if it is risky or was rolled back before.
        force: bool,
        /// Whether the change waits for the version on probation instead of being rejected.
        queue: bool,
    },
    /// Activates the staged version.
    Apply {
        /// The version that must be running; `None` for any.
        if_base: Option<u64>,
        /// Length of the probation, in microseconds.
        probation_us: Option<u64>,
    },
    /// Returns the entries of a list.
    List(String),
    /// Changes entries of a list.
    ListChange {
        /// The name of the list.
        list: String,
        /// The version that must be running, or be the newest agreed one; `None` for any.
        base: Option<u64>,
        /// Objects with `key`, `standing` and `until`.
        entries: Vec<Value>,
    },
    /// Restores the contents of an earlier agreed version.
    FleetUndo {
        /// The number of that version.
        to: u64,
        /// The version that must be running, or be the newest agreed one; `None` for any.
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

/// A client of the daemon's control socket.
pub struct ControlClient {
    socket: Option<PathBuf>,
}

impl ControlClient {
    /// Creates a client of this socket; without a socket, every request fails.
    pub fn new(socket: Option<PathBuf>) -> ControlClient {
        ControlClient { socket }
    }

    /// Sends one request and waits for its reply.
    pub fn send(&self, request: Request) -> Outcome {
        let Some(path) = &self.socket else {
            return Outcome::error(
                ExitStatus::Usage,
                "no control socket given: use --socket or ASTERRILL_SOCKET",
            );
        };
        let reply = exchange(path, &request.into_json())
            .map_err(|e| e.to_string())
            .and_then(|line| serde_json::from_str(&line).map_err(|_| "the reply is not JSON".to_string()));
        match reply {
            Ok(reply) => Outcome::from_reply(reply),
            Err(why) => Outcome::error(ExitStatus::Unreachable, format!("{}: {why}", path.display())),
        }
    }
}

fn exchange(path: &Path, request: &Value) -> std::io::Result<String> {
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    // The daemon may reject a request, and reply, before it has read all of it. A failed write is therefore an error
    // only if there is no reply.
    let written = stream.write_all(format!("{request}\n").as_bytes());
    let mut line = String::new();
    let read = BufReader::new(stream).take(MAX_REPLY_BYTES).read_line(&mut line);
    if line.is_empty() {
        written?;
    }
    read.map(|_| line)
}
