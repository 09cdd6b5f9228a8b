//! Control socket: a Unix socket that only the owner of the process may open.
//!
//! Each request is a line of JSON, and so is its reply. The command-line client is `asterrill`. The threads of the
//! socket pass requests on through the request queue and share no other state with the worker.

use crate::change::{Rejection, Reply, Request};
use crate::control_request;
use slog::{info, warn, Logger};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::{DirBuilderExt, FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum size of a request.
const MAX_REQUEST_BYTES: u64 = 4 * 1024 * 1024;
/// Size from which on a request counts as long. Only one long request is read and handled at a time.
const LONG_REQUEST_BYTES: u64 = 512 * 1024;
/// Interval between checks whether another long request has completed, or a client's slot was released.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of clients that are served at a time.
const MAX_CLIENTS: usize = 4;
/// Time for which a client waits for a slot. The slot of a client that has disconnected is released only when the thread
/// that serves it runs next.
const SLOT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a client must send a complete request, and within which it must read the reply.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next attempt after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Function that executes a request; callable from any thread.
pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Opens the control socket at `path` and serves it on a thread of its own.
///
/// A stale socket of an earlier process is replaced.
///
/// # Errors
/// The path exists and is not a socket, another process listens on it, or the socket can't be opened.
pub fn listen(path: &Path, handler: Handler, log: &Logger) -> io::Result<()> {
    let with_path = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
    remove_stale_socket(path).map_err(with_path)?;
    let listener = bind_private(path).map_err(with_path)?;
    info!(log, "listening on the control socket"; "path" => %path.display());
    let server = Server {
        handler,
        log: log.clone(),
        clients: Arc::new(AtomicUsize::new(0)),
        long_request_active: Arc::new(AtomicBool::new(false)),
    };
    std::thread::Builder::new().name("control".into()).spawn(move || server.run(&listener))?;
    Ok(())
}

/// Removes a socket on which no process listens.
fn remove_stale_socket(path: &Path) -> io::Result<()> {
    let Ok(metadata) = std::fs::symlink_metadata(path) else { return Ok(()) };
    if !metadata.file_type().is_socket() {
        return Err(io::Error::other("the path exists and is not a socket"));
    }
    if UnixStream::connect(path).is_ok() {
        return Err(io::Error::other("another process is listening on this socket"));
    }
    std::fs::remove_file(path)
}

/// Creates the socket in a private directory and moves it into place after restricting its permissions to the owner.
fn bind_private(path: &Path) -> io::Result<UnixListener> {
    let private_dir = path.with_extension(format!("{}.new", std::process::id()));
    std::fs::DirBuilder::new().mode(0o700).create(&private_dir)?;
    let socket = private_dir.join("s");
    let listener = UnixListener::bind(&socket).and_then(|listener| {
        std::fs::set_permissions(&socket, std::fs::Permissions::from_mode(0o600))?;
        std::fs::rename(&socket, path)?;
        Ok(listener)
    });
    std::fs::remove_dir_all(&private_dir)?;
    listener
}

/// State shared by the threads of the socket.
#[derive(Clone)]
struct Server {
    handler: Handler,
    log: Logger,
    /// Number of clients being served.
    clients: Arc<AtomicUsize>,
    /// Whether a long request is being read or handled.
    long_request_active: Arc<AtomicBool>,
}

impl Server {
    fn run(&self, listener: &UnixListener) {
        for stream in listener.incoming() {
            match stream {
                Ok(stream) => self.accept(stream),
                Err(e) => {
                    warn!(self.log, "accepting a connection on the control socket failed; retrying"; "error" => %e);
                    std::thread::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    fn accept(&self, stream: UnixStream) {
        let Some(slot) = ClientSlot::acquire(&self.clients, SLOT_TIMEOUT) else {
            let why = format!("too many clients: at most {MAX_CLIENTS} are served at a time");
            drop(send(&stream, &Reply::Rejected(Rejection::new(why))));
            return;
        };
        let server = self.clone();
        let serve = move || {
            drop(server.serve(&stream));
            drop(slot);
        };
        // If no thread can be started, dropping the closure releases the slot.
        drop(std::thread::Builder::new().name("operator".into()).spawn(serve));
    }

    /// Handles the requests of one client in order, until it disconnects or exceeds the time limit.
    fn serve(&self, stream: &UnixStream) -> io::Result<()> {
        let mut reader = RequestReader {
            from: BufReader::new(stream),
            stream,
            long_request_active: &self.long_request_active,
        };
        while let Some(line) = reader.next()? {
            let reply = match control_request::parse(line.text) {
                Ok(request) => (self.handler)(request),
                Err(why) => Reply::Rejected(Rejection::new(why)),
            };
            drop(line.long_request_permit);
            send(stream, &reply)?;
        }
        Ok(())
    }
}

/// Slot of one client, released when dropped.
struct ClientSlot(Arc<AtomicUsize>);

impl ClientSlot {
    /// Waits for a slot; returns none if there is none within `timeout`.
    fn acquire(clients: &Arc<AtomicUsize>, timeout: Duration) -> Option<ClientSlot> {
        let deadline = Instant::now() + timeout;
        loop {
            let slot = ClientSlot::try_acquire(clients);
            if slot.is_some() || Instant::now() >= deadline {
                return slot;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn try_acquire(clients: &Arc<AtomicUsize>) -> Option<ClientSlot> {
        let slot = ClientSlot(clients.clone());
        let previous = clients.fetch_add(1, Ordering::AcqRel);
        (previous < MAX_CLIENTS).then_some(slot)
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Permit to hold a long request in memory, released when dropped. There is one permit for all clients.
struct LongRequestPermit<'a>(&'a AtomicBool);

impl LongRequestPermit<'_> {
    fn try_acquire(active: &AtomicBool) -> Option<LongRequestPermit<'_>> {
        (!active.swap(true, Ordering::AcqRel)).then(|| LongRequestPermit(active))
    }
}

impl Drop for LongRequestPermit<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// Line of text that contains one request.
struct RequestLine<'a> {
    text: String,
    /// Permit of a long request, held until the request is handled.
    long_request_permit: Option<LongRequestPermit<'a>>,
}

/// Reader of the requests of one client.
struct RequestReader<'a> {
    from: BufReader<&'a UnixStream>,
    stream: &'a UnixStream,
    long_request_active: &'a AtomicBool,
}

impl<'a> RequestReader<'a> {
    /// Returns the next line, or `None` at the end of the stream and if the line exceeds the limits of size or time.
    ///
    /// Only one long line is read at a time. The rest of other long lines waits in the socket buffers.
    fn next(&mut self) -> io::Result<Option<RequestLine<'a>>> {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut bytes = Vec::new();
        let mut permit = None;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if bytes.len() as u64 >= LONG_REQUEST_BYTES && permit.is_none() {
                permit = LongRequestPermit::try_acquire(self.long_request_active);
                if permit.is_none() && !remaining.is_zero() {
                    std::thread::sleep(POLL_INTERVAL);
                    continue;
                }
                if permit.is_none() {
                    self.reject("another request of more than 512 KiB is being read: try again later")?;
                    return Ok(None);
                }
            }
            if remaining.is_zero() || bytes.len() as u64 >= MAX_REQUEST_BYTES {
                self.reject("a request must be one line of at most 4 MiB, received within 5 s")?;
                return Ok(None);
            }
            self.stream.set_read_timeout(Some(remaining))?;
            let limit = if permit.is_some() { MAX_REQUEST_BYTES } else { LONG_REQUEST_BYTES };
            match self.from.by_ref().take(limit - bytes.len() as u64).read_until(b'\n', &mut bytes) {
                Ok(0) => return Ok(None),
                Ok(_) if bytes.ends_with(b"\n") => {
                    let text = String::from_utf8(bytes).ok();
                    return Ok(text.map(|text| RequestLine { text, long_request_permit: permit }));
                }
                Ok(_) => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn reject(&self, why: &str) -> io::Result<()> {
        send(self.stream, &Reply::Rejected(Rejection::new(why)))
    }
}

fn send(mut stream: &UnixStream, reply: &Reply) -> io::Result<()> {
    stream.set_write_timeout(Some(REQUEST_TIMEOUT))?;
    stream.write_all(format!("{}\n", reply.to_json()).as_bytes())
}

#[cfg(test)]
#[path = "tests/control_socket.rs"]
mod tests;
