//! The control socket: a Unix socket that only the owner of the process may open. A line of JSON comes, a line of JSON
//! goes back; the program `asterrill` speaks it. Its threads touch nothing but the request queue.

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

/// Bytes of a request at the most.
const MAX_REQUEST_BYTES: u64 = 4 * 1024 * 1024;
/// Bytes of a request beyond which only one is read and answered at a time.
const LONG_REQUEST_BYTES: u64 = 512 * 1024;
/// Between looks whether another long request is done.
const LONG_REQUEST_POLL: Duration = Duration::from_millis(5);
/// Operators that are served at a time.
const MAX_CLIENTS: usize = 4;
/// A request is complete within this, and its answer is taken within as long.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Before the next try to accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Carries requests out, on any thread.
pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Listens from now on. A socket that an earlier process has left there is taken over; anything else is not.
pub fn listen(path: &Path, handler: Handler, log: &Logger) -> io::Result<()> {
    let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
    remove_stale_socket(path).map_err(named)?;
    let listener = bind_private(path).map_err(named)?;
    info!(log, "control socket is open"; "path" => %path.display());
    let server = Server {
        handler,
        log: log.clone(),
        clients: Arc::new(AtomicUsize::new(0)),
        long_request: Arc::new(AtomicBool::new(false)),
    };
    std::thread::Builder::new().name("control".into()).spawn(move || server.run(&listener))?;
    Ok(())
}

/// Removes a socket on which nobody listens any more.
fn remove_stale_socket(path: &Path) -> io::Result<()> {
    let Ok(metadata) = std::fs::symlink_metadata(path) else { return Ok(()) };
    if !metadata.file_type().is_socket() {
        return Err(io::Error::other("it is there, and no socket"));
    }
    if UnixStream::connect(path).is_ok() {
        return Err(io::Error::other("another process listens there"));
    }
    std::fs::remove_file(path)
}

/// Makes the socket where nobody else can reach it, and moves it into its place once it is for its owner only.
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

/// What the threads of the socket share.
#[derive(Clone)]
struct Server {
    handler: Handler,
    log: Logger,
    /// Operators that are served.
    clients: Arc<AtomicUsize>,
    /// A long request is held.
    long_request: Arc<AtomicBool>,
}

impl Server {
    fn run(&self, listener: &UnixListener) {
        for stream in listener.incoming() {
            match stream {
                Ok(stream) => self.accept(stream),
                Err(e) => {
                    warn!(self.log, "accepting an operator failed"; "error" => %e);
                    std::thread::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    fn accept(&self, stream: UnixStream) {
        let Some(slot) = ClientSlot::try_acquire(&self.clients) else {
            drop(send(&stream, &Reply::Rejected(Rejection::new("too many operators at a time"))));
            return;
        };
        let server = self.clone();
        let serve = move || {
            drop(server.serve(&stream));
            drop(slot);
        };
        // Where no thread can be made, the slot is given back with the closure.
        drop(std::thread::Builder::new().name("operator".into()).spawn(serve));
    }

    /// Handles requests one after the other, each complete within its time.
    fn serve(&self, stream: &UnixStream) -> io::Result<()> {
        let mut reader =
            RequestReader { from: BufReader::new(stream), stream, long_request: &self.long_request };
        while let Some(line) = reader.next()? {
            let reply = match control_request::parse(line.text) {
                Ok(request) => (self.handler)(request),
                Err(why) => Reply::Rejected(Rejection::new(why)),
            };
            drop(line.long_request);
            send(stream, &reply)?;
        }
        Ok(())
    }
}

/// The place of one operator; given back when dropped.
struct ClientSlot(Arc<AtomicUsize>);

impl ClientSlot {
    fn try_acquire(clients: &Arc<AtomicUsize>) -> Option<ClientSlot> {
        let slot = ClientSlot(clients.clone());
        let before = clients.fetch_add(1, Ordering::AcqRel);
        (before < MAX_CLIENTS).then_some(slot)
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The right to hold a long request: one operator has it at a time.
struct LongRequestPermit<'a>(&'a AtomicBool);

impl LongRequestPermit<'_> {
    fn try_acquire(held: &AtomicBool) -> Option<LongRequestPermit<'_>> {
        (!held.swap(true, Ordering::AcqRel)).then(|| LongRequestPermit(held))
    }
}

impl Drop for LongRequestPermit<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// A request as it came.
struct RequestLine<'a> {
    text: String,
    /// Held until the request is handled.
    long_request: Option<LongRequestPermit<'a>>,
}

/// Reads the requests of one operator.
struct RequestReader<'a> {
    from: BufReader<&'a UnixStream>,
    stream: &'a UnixStream,
    long_request: &'a AtomicBool,
}

impl<'a> RequestReader<'a> {
    /// The next line; `None` at the end, or if it is not complete in its time. Of long ones one is read at a time:
    /// others wait in the sockets.
    fn next(&mut self) -> io::Result<Option<RequestLine<'a>>> {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut bytes = Vec::new();
        let mut permit = None;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if bytes.len() as u64 >= LONG_REQUEST_BYTES && permit.is_none() {
                permit = LongRequestPermit::try_acquire(self.long_request);
                if permit.is_none() && !remaining.is_zero() {
                    std::thread::sleep(LONG_REQUEST_POLL);
                    continue;
                }
                if permit.is_none() {
                    self.reject("another request of more than 512 KiB is being read: ask again")?;
                    return Ok(None);
                }
            }
            if remaining.is_zero() || bytes.len() as u64 >= MAX_REQUEST_BYTES {
                self.reject("a request is a line of 4 MiB at most, within 5 s")?;
                return Ok(None);
            }
            self.stream.set_read_timeout(Some(remaining))?;
            let limit = if permit.is_some() { MAX_REQUEST_BYTES } else { LONG_REQUEST_BYTES };
            match self.from.by_ref().take(limit - bytes.len() as u64).read_until(b'\n', &mut bytes) {
                Ok(0) => return Ok(None),
                Ok(_) if bytes.ends_with(b"\n") => {
                    let text = String::from_utf8(bytes).ok();
                    return Ok(text.map(|text| RequestLine { text, long_request: permit }));
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
