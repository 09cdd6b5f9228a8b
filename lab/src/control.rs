//! Clients of the control socket: single requests, and a client that keeps its connection and counts bytes.

use crate::report::ScenarioError;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Idle time up to which a connection is used again. The daemon closes an idle connection after 5 s.
const MAX_IDLE_BEFORE_REUSE: Duration = Duration::from_secs(3);
const READ_TIMEOUT: Duration = Duration::from_secs(60);
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time that a client waits for the answer to a request on a separate connection.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Sends a request on a separate connection and reads the answer.
///
/// # Errors
/// Nothing listens at `socket`, the connection breaks, no answer arrives in time, or the answer is not JSON.
pub fn request_once(socket: &Path, mut request: Value, timeout: Duration) -> Result<Value, ScenarioError> {
    request["v"] = json!(1);
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(format!("{request}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(serde_json::from_str(&line)?)
}

/// A connection and the time at which it was used last.
struct Connection {
    stream: BufReader<UnixStream>,
    last_used: Instant,
}

/// A client of the control socket that reuses its connection unless it has been idle for too long.
pub struct ControlClient {
    path: PathBuf,
    connection: Option<Connection>,
    /// Total bytes of requests and answers.
    pub bytes: u64,
}

impl ControlClient {
    /// Returns a client of the socket at `path`; it connects with its first request.
    pub fn new(path: &Path) -> ControlClient {
        ControlClient { path: path.into(), connection: None, bytes: 0 }
    }

    /// Sends a request and reads the answer.
    ///
    /// # Errors
    /// The connection breaks, or the answer is not JSON.
    pub fn request(&mut self, mut request: Value) -> Result<Value, ScenarioError> {
        request["v"] = json!(1);
        let line = format!("{request}\n");
        self.connection =
            self.connection.take().filter(|one| one.last_used.elapsed() < MAX_IDLE_BEFORE_REUSE);
        let connection = match &mut self.connection {
            Some(connection) => connection,
            none => none.insert(open(&self.path)?),
        };
        // The daemon does not read a request to its end if it rejects it for its length: read the answer even if the
        // write failed.
        let sent = connection.stream.get_mut().write_all(line.as_bytes());
        let mut answer = String::new();
        let read = connection.stream.read_line(&mut answer);
        connection.last_used = Instant::now();
        self.bytes += (line.len() + answer.len()) as u64;
        let parsed = serde_json::from_str::<Value>(&answer);
        if sent.is_err() || parsed.is_err() {
            self.connection = None;
        }
        read?;
        Ok(parsed.map_err(|e| {
            format!(
                "control socket: expected one line of JSON as the answer: {e} ({})",
                sent.map_or_else(|e| e.to_string(), |()| answer)
            )
        })?)
    }

    /// Requests the status of the configuration, and the counters.
    pub fn status(&mut self) -> Result<Value, ScenarioError> {
        self.request(json!({"do": "status"}))
    }
}

/// Connects to a control socket that may not exist yet: the process opens it shortly after it listens for sidecars.
///
/// # Errors
/// Nothing listens at the socket within three seconds.
pub fn connect_when_ready(socket: &Path) -> std::io::Result<UnixStream> {
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    loop {
        match UnixStream::connect(socket) {
            Err(_) if Instant::now() < deadline => thread::sleep(CONNECT_POLL_INTERVAL),
            result => return result,
        }
    }
}

fn open(socket: &Path) -> std::io::Result<Connection> {
    let stream = connect_when_ready(socket)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    Ok(Connection { stream: BufReader::new(stream), last_used: Instant::now() })
}
