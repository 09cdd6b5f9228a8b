//! Where operators are listened to: a Unix socket that only the owner of the process may open. A line of JSON comes,
//! a line of JSON goes back; the program `asterrill` speaks it. Its threads touch nothing but the orders.

use crate::change::{Asked, Told, Wanted, What};
use asterrill_consensus::{Access, Change, ListEntry, ListKind, Proposal};
use asterrill_rollout::StageOptions;
use serde_json::{json, Value};
use slog::{info, warn, Logger};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::{DirBuilderExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const VERSION: u64 = 1;
const LINE: u64 = 4 * 1024 * 1024; // bytes of a request
const LONG: u64 = 512 * 1024; // beyond which only one is read and answered at a time
const WAIT: Duration = Duration::from_millis(5); // between looks whether another long one is done
const CLIENTS: usize = 4;
const WITHIN: Duration = Duration::from_secs(5); // a request comes whole by then, and its answer is taken

/// What a line asks for.
#[derive(Clone, Debug)]
pub enum Request {
    /// A change is to be staged.
    Stage(Asked),
    /// What a change would mean.
    Diff(Asked),
    Do(Wanted),
}

/// Carries it out.
pub type Ask = Arc<dyn Fn(Request) -> Told + Send + Sync>;

/// The right to hold a long request: one client has it at a time.
struct Hold<'a>(&'a AtomicBool);

impl Hold<'_> {
    fn take(held: &AtomicBool) -> Option<Hold<'_>> {
        (!held.swap(true, Ordering::AcqRel)).then(|| Hold(held))
    }
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// Listens from now on. A socket that an earlier process has left there is taken over; anything else is not.
pub fn listen(path: &Path, ask: Ask, log: &Logger) -> io::Result<()> {
    let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
    if let Ok(about) = std::fs::symlink_metadata(path) {
        let socket = std::os::unix::fs::FileTypeExt::is_socket(&about.file_type());
        if !socket || UnixStream::connect(path).is_ok() {
            let why = if socket { "another process listens there" } else { "it is there, and no socket" };
            return Err(named(io::Error::other(why)));
        }
        std::fs::remove_file(path).map_err(named)?;
    }
    // Made where nobody else can reach it, and moved into its place once it is for its owner only.
    let beside = path.with_extension(format!("{}.new", std::process::id()));
    std::fs::DirBuilder::new().mode(0o700).create(&beside).map_err(named)?;
    let made = beside.join("s");
    let listener = UnixListener::bind(&made).and_then(|listener| {
        std::fs::set_permissions(&made, std::fs::Permissions::from_mode(0o600))?;
        std::fs::rename(&made, path)?;
        Ok(listener)
    });
    std::fs::remove_dir_all(&beside).map_err(named)?;
    let listener = listener.map_err(named)?;
    info!(log, "operators are listened to"; "path" => %path.display());
    let (log, clients, held) = (log.clone(), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    std::thread::Builder::new().name("control".into()).spawn(move || {
        for stream in listener.incoming() {
            let stream = match stream {
                Ok(stream) => stream,
                Err(e) => {
                    warn!(log, "an operator could not be taken in"; "error" => %e);
                    std::thread::sleep(Duration::from_millis(50));
                    continue;
                }
            };
            if clients.fetch_add(1, Ordering::AcqRel) >= CLIENTS {
                clients.fetch_sub(1, Ordering::AcqRel);
                drop(say(&stream, &json!({"ok": false, "error": "too many operators at a time"})));
                continue;
            }
            let (ask, done, held) = (ask.clone(), clients.clone(), held.clone());
            let serve = move || {
                drop(serve(&stream, &ask, &held));
                done.fetch_sub(1, Ordering::AcqRel);
            };
            if std::thread::Builder::new().name("operator".into()).spawn(serve).is_err() {
                clients.fetch_sub(1, Ordering::AcqRel);
            }
        }
    })?;
    Ok(())
}

fn say(mut stream: &UnixStream, told: &Told) -> io::Result<()> {
    stream.set_write_timeout(Some(WITHIN))?;
    stream.write_all(format!("{told}\n").as_bytes())
}

/// Requests one after the other, each whole within its time.
fn serve(stream: &UnixStream, ask: &Ask, held: &AtomicBool) -> io::Result<()> {
    let mut from = BufReader::new(stream);
    loop {
        let Some((line, hold)) = line(&mut from, stream, held)? else { return Ok(()) };
        let told = match request(line) {
            Ok(request) => ask(request),
            Err(why) => json!({"ok": false, "error": why}),
        };
        drop(hold);
        say(stream, &told)?;
    }
}

/// The next line; none at the end, or if it does not come whole in its time. Of long ones one is read at a time: others
/// wait in the sockets.
fn line<'a>(
    from: &mut BufReader<&UnixStream>, stream: &UnixStream, held: &'a AtomicBool,
) -> io::Result<Option<(String, Option<Hold<'a>>)>> {
    let (until, mut bytes, mut hold) = (Instant::now() + WITHIN, Vec::new(), None);
    let refused = |why: &str| say(stream, &json!({"ok": false, "error": why}));
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if bytes.len() as u64 >= LONG && hold.is_none() {
            hold = Hold::take(held);
            if hold.is_none() && !left.is_zero() {
                std::thread::sleep(WAIT);
                continue;
            }
            if hold.is_none() {
                refused("another request of more than 512 KiB is being read: ask again")?;
                return Ok(None);
            }
        }
        if left.is_zero() || bytes.len() as u64 >= LINE {
            refused("a request is a line of 4 MiB at most, within 5 s")?;
            return Ok(None);
        }
        stream.set_read_timeout(Some(left))?;
        let most = if hold.is_some() { LINE } else { LONG } - bytes.len() as u64;
        match from.by_ref().take(most).read_until(b'\n', &mut bytes) {
            Ok(0) => return Ok(None),
            Ok(_) if bytes.ends_with(b"\n") => {
                return Ok(String::from_utf8(bytes).ok().map(|line| (line, hold)))
            }
            Ok(_) => {}
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
    }
}

/// What a line asks for. A long text is taken out of it, not copied, and the line is not kept beside it.
fn request(line: String) -> Result<Request, String> {
    let mut v: Value = serde_json::from_str(&line).map_err(|e| format!("not JSON: {e}"))?;
    drop(line);
    if v.get("v").and_then(Value::as_u64) != Some(VERSION) {
        return Err(format!("this program speaks version {VERSION}"));
    }
    let mut text = |name: &str| match v.get_mut(name).map(Value::take) {
        Some(Value::String(text)) => Some(text),
        _ => None,
    };
    let what = match (text("step"), text("text")) {
        (Some(_), Some(_)) => return Err("text or step, not both".into()),
        (Some(step), None) => Some(What::Step(step)),
        (None, text) => text.map(What::Text),
    };
    let flag = |name: &str| v.get(name).and_then(Value::as_bool).unwrap_or(false);
    let number = |name: &str| match v.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(n) => n.as_u64().map(Some).ok_or_else(|| format!("{name} is no whole number")),
    };
    let wanted = match v.get("do").and_then(Value::as_str) {
        Some(todo @ ("stage" | "diff")) => {
            let what = what.ok_or_else(|| format!("{todo} wants text or step"))?;
            let options = StageOptions { force: flag("force"), queue: flag("queue") };
            let asked = Asked { what, base: number("base")?, options };
            return Ok(if todo == "stage" { Request::Stage(asked) } else { Request::Diff(asked) });
        }
        Some("apply") => {
            Ok(Wanted::Apply { if_base: number("if_base")?, probation: number("probation_us")? })
        }
        Some("status") => Ok(Wanted::Status),
        Some("settle") => Ok(Wanted::Settle),
        Some("undo") => Ok(Wanted::Undo),
        Some("drop") => Ok(Wanted::Drop),
        Some("history") => Ok(Wanted::History),
        Some("members") => Ok(Wanted::Members),
        Some("fleet") => Ok(Wanted::Fleet),
        Some("list") => Ok(Wanted::List(kind(&v)?)),
        Some("fleet-undo") => {
            let to = number("to")?.ok_or("it wants the version to go back to")?;
            Ok(Wanted::Propose(Proposal::Undo { base: number("base")?, to }))
        }
        Some("list-change") => {
            let kind = kind(&v)?;
            let rows = v.get("entries").and_then(Value::as_array).ok_or("list-change wants entries")?;
            let changes = rows.iter().map(|row| change(kind, row)).collect::<Result<_, _>>()?;
            Ok(Wanted::Propose(Proposal::Change { base: number("base")?, changes }))
        }
        other => Err(format!("{other:?} is not known")),
    };
    wanted.map(Request::Do)
}

fn kind(v: &Value) -> Result<ListKind, String> {
    let name = v.get("list").and_then(Value::as_str).unwrap_or("");
    ListKind::from_name(name).ok_or_else(|| format!("there is no list {name:?}: tenants, callers or methods"))
}

/// A row of a change: a key, and `in`, `out` or `none`, with the Unix time in microseconds at which that ends, if any.
fn change(kind: ListKind, row: &Value) -> Result<Change, String> {
    let key = row.get("key").and_then(Value::as_str).ok_or("an entry wants its key")?.to_string();
    let expires_at = row.get("until").and_then(Value::as_u64).unwrap_or(0);
    let entry = |access| Ok(Change::Put { kind, key: key.clone(), entry: ListEntry { access, expires_at } });
    match row.get("standing").and_then(Value::as_str) {
        Some("in") => entry(Access::Allowed),
        Some("out") => entry(Access::Denied),
        Some("none") => Ok(Change::Remove { kind, key }),
        other => Err(format!("an entry is in, out or none, not {other:?}")),
    }
}

#[cfg(test)]
#[path = "tests/control.rs"]
mod tests;
