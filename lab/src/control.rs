//! An operator at the control socket: requests on connections of their own, and a client that counts bytes.

use crate::report::ScenarioError;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

const REUSED_WITHIN: Duration = Duration::from_secs(3); // an idle connection is closed after 5 s
const READ_TIMEOUT: Duration = Duration::from_secs(60);
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECT_WITHIN: Duration = Duration::from_secs(3);
const CONNECT_POLL: Duration = Duration::from_millis(5);

/// How long an operator waits for the answer to a request of its own connection.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Sends a request on a connection of its own and reads its answer.
///
/// # Errors
/// Nobody listens at `socket`, the connection breaks, no answer comes in time, or it is no JSON.
pub fn request_once(socket: &Path, mut request: Value, timeout: Duration) -> Result<Value, ScenarioError> {
    request["v"] = json!(1);
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(format!("{request}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(serde_json::from_str(&line)?)
}

/// A connection and when it was used last.
struct Connection {
    stream: BufReader<UnixStream>,
    used: Instant,
}

/// A client of the control socket. Its connection is used again while it is fresh.
pub struct ControlClient {
    path: PathBuf,
    connection: Option<Connection>,
    /// Bytes of requests and answers so far.
    pub bytes: u64,
}

impl ControlClient {
    /// A client of the socket at a path, which connects with its first request.
    pub fn new(path: &Path) -> ControlClient {
        ControlClient { path: path.into(), connection: None, bytes: 0 }
    }

    /// Sends a request and reads its answer.
    ///
    /// # Errors
    /// The connection breaks, or the answer is no JSON.
    pub fn request(&mut self, mut request: Value) -> Result<Value, ScenarioError> {
        request["v"] = json!(1);
        let line = format!("{request}\n");
        self.connection = self.connection.take().filter(|one| one.used.elapsed() < REUSED_WITHIN);
        let connection = match &mut self.connection {
            Some(connection) => connection,
            none => none.insert(open(&self.path)?),
        };
        // A request that is rejected for its length is not read to its end: the answer is read all the same.
        let sent = connection.stream.get_mut().write_all(line.as_bytes());
        let mut answer = String::new();
        let read = connection.stream.read_line(&mut answer);
        connection.used = Instant::now();
        self.bytes += (line.len() + answer.len()) as u64;
        let parsed = serde_json::from_str::<Value>(&answer);
        if sent.is_err() || parsed.is_err() {
            self.connection = None;
        }
        read?;
        Ok(parsed
            .map_err(|e| format!("no answer: {e} ({})", sent.map_or_else(|e| e.to_string(), |()| answer)))?)
    }

    /// What the process says of its configuration and counters.
    pub fn status(&mut self) -> Result<Value, ScenarioError> {
        self.request(json!({"do": "status"}))
    }
}

/// Connects to a socket that may not be there yet: a process opens it shortly after it listens for sidecars.
///
/// # Errors
/// Nobody listens there within three seconds.
pub fn connect_when_ready(socket: &Path) -> std::io::Result<UnixStream> {
    let until = Instant::now() + CONNECT_WITHIN;
    loop {
        match UnixStream::connect(socket) {
            Err(_) if Instant::now() < until => thread::sleep(CONNECT_POLL),
            done => return done,
        }
    }
}

fn open(socket: &Path) -> std::io::Result<Connection> {
    let stream = connect_when_ready(socket)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    Ok(Connection { stream: BufReader::new(stream), used: Instant::now() })
}
