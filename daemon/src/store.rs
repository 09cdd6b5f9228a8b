//! What lasts, on disk: versions of the configuration, and what was learned. Written by one thread of its own, whole or
//! not at all, the newest wish first; versions before anything else.

use asterrill_agree::Write as Bytes;
use asterrill_membership::Kept;
use asterrill_recovery::{Learned, MOST};
use asterrill_rollout::{recover, Recovered};
use slog::{warn, Logger};
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

const MEMBERS: &str = "members"; // the file of who was there
const AGREED: &str = "agreed"; // the file of a keeper
const FORMAT: u32 = 1; // of it
const LEARNED: &str = "learned"; // the file of what was learned

/// What is to stand on disk: the last good version, and the one on probation.
#[derive(Clone, Debug, PartialEq)]
struct Records {
    good: String,
    probation: Option<String>,
}

/// Told the number of a write that stands on disk.
pub type Stands = dyn Fn(u64) + Send + Sync;

/// What is to be written next.
#[derive(Default)]
struct Wanted {
    records: Option<Records>,
    learned: Option<Learned>,
    members: Option<String>,
    /// What a keeper has to have on disk, in this order, and who is told once it stands there.
    agreed: Vec<Bytes>,
    stands: Option<Arc<Stands>>,
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

/// What a start finds: the last good version, and what was on probation when the process ended.
#[derive(Debug, Default)]
pub struct Found {
    pub good: Option<Recovered>,
    pub probation: Option<Recovered>,
}

/// Reads what an earlier process had learned. What can't be used is told, and is as if it were not there.
pub fn find_learned(dir: &Path, log: &Logger) -> Option<Learned> {
    let path = dir.join(LEARNED);
    let text = match File::open(&path) {
        Ok(file) => {
            let mut text = String::new();
            file.take(MOST as u64 + 1).read_to_string(&mut text).map(|_| text)
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => Err(e),
    };
    let read =
        text.map_err(|e| e.to_string()).and_then(|text| Learned::read(&text).map_err(|e| e.to_string()));
    if let Err(why) = &read {
        warn!(log, "what was learned is not used"; "path" => %path.display(), "why" => why);
    }
    read.ok()
}

/// Reads who was there before. What can't be used is told, and is as if it were not there.
pub fn find_members(dir: &Path, log: &Logger) -> Option<Kept> {
    let path = dir.join(MEMBERS);
    let mut text = String::new();
    match File::open(&path).and_then(|file| file.take(MOST as u64 + 1).read_to_string(&mut text)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => {
            warn!(log, "who was there before is not known"; "path" => %path.display(), "why" => %e);
            return None;
        }
        Ok(_) => {}
    }
    let body = asterrill_recovery::open(MEMBERS, FORMAT, &text).map_err(|e| e.to_string());
    let read = body.and_then(|body| Kept::read(body).ok_or_else(|| "a line is not understood".to_string()));
    if let Err(why) = &read {
        warn!(log, "who was there before is not known"; "path" => %path.display(), "why" => why);
    }
    read.ok()
}

/// Reads what an earlier process has left. What can't be used is told, and is as if it were not there.
pub fn find(dir: &Path, log: &Logger) -> Found {
    let read = |name: &str| {
        let path = dir.join(name);
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
            Err(e) => {
                warn!(log, "a state file can't be read"; "path" => %path.display(), "why" => %e);
                return None;
            }
        };
        match recover(&text) {
            Ok(found) => Some(found),
            Err(fault) => {
                warn!(log, "a state file is not used"; "path" => %path.display(), "why" => %fault);
                None
            }
        }
    };
    Found { good: read("good"), probation: read("probation") }
}

impl Store {
    /// Starts the thread that writes.
    pub fn start(dir: &Path, log: &Logger) -> io::Result<Store> {
        let desk = Arc::new(Desk::default());
        let (kept, dir, log) = (desk.clone(), dir.to_path_buf(), log.clone());
        std::thread::Builder::new().name("store".into()).spawn(move || write_all(&kept, &dir, &log))?;
        Ok(Store(desk))
    }
    /// From now on this is to stand on disk. Of several wishes the last counts.
    pub fn keep(&self, good: String, probation: Option<String>) {
        self.0.wanted().records = Some(Records { good, probation });
        self.0.news.notify_one();
    }
    /// The same for what was learned.
    pub fn keep_learned(&self, learned: Learned) {
        self.0.wanted().learned = Some(learned);
        self.0.news.notify_one();
    }
    /// The same for who was there.
    pub fn keep_members(&self, text: String) {
        self.0.wanted().members = Some(text);
        self.0.news.notify_one();
    }
    /// What a keeper has to have on disk: each of it is written, in this order.
    pub fn keep_agreed(&self, writes: Vec<Bytes>, stands: &Arc<Stands>) {
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
    let mut told = 0_u64; // a directory that stays full or read-only is told of at its first, second, fourth failure
    loop {
        let mut wanted = desk.wanted();
        while wanted.records.is_none()
            && wanted.learned.is_none()
            && wanted.members.is_none()
            && wanted.agreed.is_empty()
        {
            wanted = desk.news.wait(wanted).unwrap_or_else(|e| e.into_inner());
        }
        let (records, learned) = (wanted.records.take(), wanted.learned.take());
        let members = wanted.members.take();
        let (agreed, stands) = (std::mem::take(&mut wanted.agreed), wanted.stands.clone());
        drop(wanted);
        let versions = records.map_or(Ok(()), |records| write(dir, &records));
        let learned = learned.map_or(Ok(()), |learned| put(dir, &dir.join(LEARNED), &learned.write()));
        let members = members.map_or(Ok(()), |text| {
            let sealed = asterrill_recovery::seal(MEMBERS, FORMAT, &text);
            put(dir, &dir.join(MEMBERS), &sealed)
        });
        // After a failure nothing more is said to stand: what is there may end in the middle. A restart reads it anew.
        let agreed = if broken { Ok(()) } else { keep(dir, &agreed, stands.as_deref()) };
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

/// Before a change the record of what goes on probation comes first; at its end the good one does. So whatever a
/// crash leaves, a version on probation is known as such, or is good.
fn write(dir: &Path, records: &Records) -> io::Result<()> {
    let place = |name: &str| dir.join(name);
    match &records.probation {
        Some(probation) => {
            put(dir, &place("probation"), probation)?;
            put(dir, &place("good"), &records.good)
        }
        None => {
            put(dir, &place("good"), &records.good)?;
            match std::fs::remove_file(place("probation")) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
                _ => File::open(dir)?.sync_all(),
            }
        }
    }
}

/// The file of a keeper: appended to, or made anew; one sync for all that came together.
fn keep(dir: &Path, writes: &[Bytes], stands: Option<&Stands>) -> io::Result<()> {
    let Some(last) = writes.last() else { return Ok(()) };
    let path = dir.join(AGREED);
    let mut file = None;
    for write in writes {
        if write.anew {
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
pub fn find_agreed(dir: &Path) -> io::Result<Vec<u8>> {
    match std::fs::read(dir.join(AGREED)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        read => read,
    }
}
/// What follows the whole records of a keeper's file is cut off.
pub fn cut_agreed(dir: &Path, whole: usize) -> io::Result<()> {
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

#[cfg(test)]
#[path = "tests/store.rs"]
mod tests;
