//! What lasts, on disk: versions of the configuration, and what was learned. Written by one thread of its own, whole or
//! not at all, the newest wish first; versions before anything else. Of versions what differs from what stands there is
//! appended as steps; a whole version is written at the first wish, after a failure, and when the steps have outgrown it.

use asterrill_consensus::DiskWrite;
use asterrill_membership::PersistedState;
use asterrill_recovery::{Snapshot, MAX_TEXT_BYTES};
use asterrill_rollout::{
    recover, write_snapshot, PersistedState as VersionState, PersistedVersion as Version, WrittenRecord,
};
use slog::{warn, Logger};
use std::fmt;
use std::fs::File;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

const MEMBERS: &str = "members"; // the file of who was there
const AGREED: &str = "agreed"; // the file of a keeper
const FORMAT: u32 = 1; // of it
const VERSIONS: &str = "versions"; // the file of versions
const FORMER: [&str; 2] = ["good", "probation"]; // files of versions, as builds before kept them
const LEARNED: &str = "learned"; // the file of what was learned

/// Told the number of a write that stands on disk.
pub type OnDurable = dyn Fn(u64) + Send + Sync;

/// What is to be written next.
#[derive(Default)]
struct Wanted {
    versions: Option<VersionState>,
    learned: Option<Snapshot>,
    members: Option<String>,
    /// What a keeper has to have on disk, in this order, and who is told once it stands there.
    agreed: Vec<DiskWrite>,
    stands: Option<Arc<OnDurable>>,
}

#[derive(Default)]
struct Desk {
    wanted: Mutex<Wanted>,
    news: Condvar,
    failed: AtomicU64,
}

/// A directory where versions are kept.
#[derive(Clone)]
pub struct Store(Arc<Desk>);

/// Reads what an earlier process had learned. What can't be used is told, and is as if it were not there.
pub fn read_learned(dir: &Path, log: &Logger) -> Option<Snapshot> {
    let path = dir.join(LEARNED);
    let text = match File::open(&path) {
        Ok(file) => {
            let mut text = String::new();
            file.take(MAX_TEXT_BYTES as u64 + 1).read_to_string(&mut text).map(|_| text)
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => Err(e),
    };
    let read = text
        .map_err(|e| e.to_string())
        .and_then(|text| Snapshot::from_text(&text).map_err(|e| e.to_string()));
    if let Err(why) = &read {
        warn!(log, "what was learned is not used"; "path" => %path.display(), "why" => why);
    }
    read.ok()
}

/// Reads who was there before. What can't be used is told, and is as if it were not there.
pub fn read_members(dir: &Path, log: &Logger) -> Option<PersistedState> {
    let path = dir.join(MEMBERS);
    let mut text = String::new();
    match File::open(&path).and_then(|file| file.take(MAX_TEXT_BYTES as u64 + 1).read_to_string(&mut text)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => {
            warn!(log, "who was there before is not known"; "path" => %path.display(), "why" => %e);
            return None;
        }
        Ok(_) => {}
    }
    let body = asterrill_recovery::decode_checksummed(MEMBERS, FORMAT, &text).map_err(|e| e.to_string());
    let read = body.and_then(|body| PersistedState::from_text(body).map_err(|e| e.to_string()));
    if let Err(why) = &read {
        warn!(log, "who was there before is not known"; "path" => %path.display(), "why" => why);
    }
    read.ok()
}

/// Reads which versions an earlier process has left. What can't be used is told, and is as if it were not there.
pub fn read_versions(dir: &Path, log: &Logger) -> Option<VersionState> {
    let path = dir.join(VERSIONS);
    let read = match File::open(&path) {
        Ok(file) => recover(BufReader::new(file)).map_err(|fault| fault.to_string()),
        Err(e) if e.kind() == io::ErrorKind::NotFound => return read_former_versions(dir, log),
        Err(e) => Err(e.to_string()),
    };
    match read {
        Ok(found) => {
            if found.torn_bytes > 0 {
                warn!(log, "the last step of the state was not written whole and is left out";
                    "path" => %path.display(), "bytes" => found.torn_bytes);
            }
            if let Some(damage) = &found.damaged {
                warn!(log, "the state is damaged: what stands before that is used";
                    "path" => %path.display(), "why" => %damage, "version" => found.state.good.number);
            }
            Some(found.state)
        }
        Err(why) => {
            warn!(log, "a state file is not used"; "path" => %path.display(), "why" => why);
            None
        }
    }
}

/// Reads versions as builds before the file of versions kept them, each a whole text in a file of its own. What was
/// undone then is not known any more: it was named by a hash of the text.
fn read_former_versions(dir: &Path, log: &Logger) -> Option<VersionState> {
    let read = |name: &str| -> Result<Option<Version>, String> {
        let mut text = String::new();
        match File::open(dir.join(name))
            .and_then(|file| file.take(MAX_TEXT_BYTES as u64 + 1).read_to_string(&mut text))
        {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            read => read.map_err(|e| e.to_string())?,
        };
        let body = asterrill_recovery::decode_checksummed("state", FORMAT, &text)
            .map_err(|fault| fault.to_string())?;
        former(body).map(Some)
    };
    let read = |name: &str| {
        read(name).unwrap_or_else(|why| {
            warn!(log, "a state file is not used"; "path" => %dir.join(name).display(), "why" => why);
            None
        })
    };
    let [good, probation] = FORMER.map(read);
    Some(VersionState { good: good?, probation, rolled_back: Vec::new() })
}

/// `version N`, what was undone, `text` with its length; then settings and limits in JSON, and the operator's file.
fn former(body: &str) -> Result<Version, String> {
    let bad = || "it is damaged".to_string();
    let (first, _) = body.split_once('\n').ok_or_else(bad)?;
    let number = first.strip_prefix("version ").and_then(|number| number.parse().ok()).ok_or_else(bad)?;
    let (_, text) = body.split_once("\ntext ").and_then(|(_, rest)| rest.split_once('\n')).ok_or_else(bad)?;
    let (json, file) = text.split_once("\n---\n").unwrap_or((text, ""));
    let value: serde_json::Value = serde_json::from_str(json).map_err(|e| e.to_string())?;
    let part = |name| asterrill_settings::json::object(&value, name).map_err(|fault| fault.to_string());
    let (settings, limits) = (part("settings")?, part("limits")?);
    let limit = |name| asterrill_settings::json::integer(limits, name).map_err(|fault| fault.to_string());
    let content =
        asterrill_settings::configuration_from_json(settings, limit("memory_mb")?, limit("sockets")?);
    Ok(Version { number, content: content.map_err(|fault| fault.to_string())?, operator_file: file.into() })
}

impl Store {
    /// Starts the thread that writes.
    pub fn start(dir: &Path, log: &Logger) -> io::Result<Store> {
        let desk = Arc::new(Desk::default());
        let (kept, dir, log) = (desk.clone(), dir.to_path_buf(), log.clone());
        std::thread::Builder::new().name("store".into()).spawn(move || write_all(&kept, &dir, &log))?;
        Ok(Store(desk))
    }
    /// From now on this is to stand on disk. Of several wishes the last counts: what is appended leads to it from what
    /// stands there, so at most one waits, nothing is left out and nothing is written twice. Costs the caller nothing that
    /// grows with the version.
    pub fn save_versions(&self, state: VersionState) {
        self.0.wanted().versions = Some(state);
        self.0.news.notify_one();
    }
    /// The same for what was learned.
    pub fn save_learned(&self, learned: Snapshot) {
        self.0.wanted().learned = Some(learned);
        self.0.news.notify_one();
    }
    /// The same for who was there.
    pub fn save_members(&self, text: String) {
        self.0.wanted().members = Some(text);
        self.0.news.notify_one();
    }
    /// What a keeper has to have on disk: each of it is written, in this order.
    pub fn save_consensus(&self, writes: Vec<DiskWrite>, stands: &Arc<OnDurable>) {
        let mut wanted = self.0.wanted();
        wanted.agreed.extend(writes);
        wanted.stands = Some(stands.clone());
        drop(wanted);
        self.0.news.notify_one();
    }
    /// Times that it could not be written.
    pub fn failed(&self) -> u64 {
        self.0.failed.load(Ordering::Relaxed)
    }
}

impl Desk {
    fn wanted(&self) -> MutexGuard<'_, Wanted> {
        self.wanted.lock().unwrap_or_else(|e| e.into_inner())
    }
}

fn write_all(desk: &Desk, dir: &Path, log: &Logger) {
    let mut broken = false;
    let mut stands = None;
    let mut told = 0_u64; // a directory that stays full or read-only is told of at its first, second, fourth failure
    loop {
        let mut wanted = desk.wanted();
        while wanted.versions.is_none()
            && wanted.learned.is_none()
            && wanted.members.is_none()
            && wanted.agreed.is_empty()
        {
            wanted = desk.news.wait(wanted).unwrap_or_else(|e| e.into_inner());
        }
        let (versions, learned) = (wanted.versions.take(), wanted.learned.take());
        let members = wanted.members.take();
        let (agreed, told_of) = (std::mem::take(&mut wanted.agreed), wanted.stands.clone());
        drop(wanted);
        let versions = versions.map_or(Ok(()), |state| write_versions(dir, &mut stands, state));
        let learned = learned.map_or(Ok(()), |learned| put(dir, &dir.join(LEARNED), &learned.to_text()));
        let members = members.map_or(Ok(()), |text| {
            let sealed = asterrill_recovery::encode_checksummed(MEMBERS, FORMAT, &text);
            put(dir, &dir.join(MEMBERS), &sealed)
        });
        // After a failure nothing more is said to stand: what is there may end in the middle. A restart reads it anew.
        let agreed = if broken { Ok(()) } else { keep(dir, &agreed, told_of.as_deref()) };
        broken |= agreed.is_err();
        for fault in [versions, learned, members, agreed].into_iter().filter_map(Result::err) {
            let failed = desk.failed.fetch_add(1, Ordering::Relaxed) + 1;
            if failed >= told * 2 {
                told = failed;
                warn!(log, "the state could not be written: a restart starts with what stands there";
                    "path" => %dir.display(), "why" => %fault, "times" => failed);
            }
        }
    }
}

/// Writes what leads from what stands there to what is to. After a failure it is not known what stands there, so the
/// next time a whole version takes its place: steps never follow a hole.
fn write_versions(dir: &Path, standing: &mut Option<WrittenRecord>, state: VersionState) -> io::Result<()> {
    let path = dir.join(VERSIONS);
    let steps = standing.as_ref().and_then(|standing| standing.update_to(&state));
    if let Some((old, steps)) = standing.take().zip(steps) {
        if !steps.is_empty() {
            // Not made where it is missing: steps are nothing without the version before them.
            write_text(File::options().append(true).open(&path)?, |to| steps.write(to))?;
        }
        *standing = Some(old.after_update(state, &steps));
        return Ok(());
    }
    *standing = Some(put_text(dir, &path, |to| write_snapshot(&state, to))?);
    // What a build before left has had its day; where it can't be removed it is not looked at all the same.
    FORMER.iter().for_each(|name| std::fs::remove_file(dir.join(name)).unwrap_or_default());
    Ok(())
}

/// Text that goes to a file in pieces; the fault that stopped it is kept.
struct Pieces {
    to: BufWriter<File>,
    fault: io::Result<()>,
}

impl fmt::Write for Pieces {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.fault = self.to.write_all(text.as_bytes());
        self.fault.as_ref().map_err(|_| fmt::Error).copied()
    }
}

/// Writes and syncs.
fn write_text<T>(
    file: File, write: impl FnOnce(&mut dyn fmt::Write) -> Result<T, fmt::Error>,
) -> io::Result<T> {
    let mut pieces = Pieces { to: BufWriter::new(file), fault: Ok(()) };
    let done = write(&mut pieces);
    pieces.fault?;
    let done = done.map_err(|_| io::Error::other("it could not be put in words"))?;
    pieces.to.into_inner().map_err(|e| e.into_error())?.sync_all()?;
    Ok(done)
}

/// The file of a keeper: appended to, or made anew; one sync for all that came together.
fn keep(dir: &Path, writes: &[DiskWrite], stands: Option<&OnDurable>) -> io::Result<()> {
    let Some(last) = writes.last() else { return Ok(()) };
    let path = dir.join(AGREED);
    let mut file = None;
    for write in writes {
        if write.replace {
            file = None;
            put_bytes(dir, &path, &write.bytes)?;
        } else {
            let open = || File::options().append(true).create(true).open(&path);
            let mut to = file.take().map_or_else(open, Ok)?;
            to.write_all(&write.bytes)?;
            file = Some(to);
        }
    }
    file.map_or(Ok(()), |file| file.sync_all())?;
    stands.iter().for_each(|stands| stands(last.number));
    Ok(())
}

/// The bytes of a keeper's file.
pub fn read_consensus(dir: &Path) -> io::Result<Vec<u8>> {
    match std::fs::read(dir.join(AGREED)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        read => read,
    }
}
/// What follows the whole records of a keeper's file is cut off.
pub fn truncate_consensus(dir: &Path, whole: usize) -> io::Result<()> {
    let file = File::options().write(true).create(true).truncate(false).open(dir.join(AGREED))?;
    file.set_len(whole as u64)?;
    file.sync_all()
}

fn put(dir: &Path, path: &PathBuf, text: &str) -> io::Result<()> {
    put_bytes(dir, path, text.as_bytes())
}
fn put_bytes(dir: &Path, path: &PathBuf, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    File::open(dir)?.sync_all()
}
/// The same for what is too long to be held as a whole.
fn put_text<T>(
    dir: &Path, path: &Path, write: impl FnOnce(&mut dyn fmt::Write) -> Result<T, fmt::Error>,
) -> io::Result<T> {
    let beside = path.with_extension("new");
    let done = write_text(File::create(&beside)?, write)?;
    std::fs::rename(&beside, path)?;
    File::open(dir)?.sync_all()?;
    Ok(done)
}

#[cfg(test)]
#[path = "tests/store.rs"]
mod tests;
