//! Thread that writes the state files.
//!
//! Versions are written before anything else. Of several queued states of one kind only the newest is written, but
//! all writes of a voter are written in order. A file that is replaced is replaced completely or not at all.

use super::checksummed::{write_learned, write_members};
use super::consensus::{append_consensus, OnDurable};
use super::files_read::FilesRead;
use super::versions::VersionsFile;
use asterrill_consensus::DiskWrite;
use asterrill_recovery::Snapshot;
use asterrill_rollout::{PersistedState, VersionHash};
use slog::{warn, Logger};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

/// Versions, and the hash of the files that the process has read.
struct PendingVersions {
    state: PersistedState,
    files: VersionHash,
}

/// States that wait to be written.
#[derive(Default)]
struct PendingWrites {
    versions: Option<PendingVersions>,
    learned: Option<Snapshot>,
    members: Option<String>,
    /// Writes of a voter, in this order.
    consensus: Vec<DiskWrite>,
    on_durable: Option<Arc<OnDurable>>,
}

impl PendingWrites {
    fn is_empty(&self) -> bool {
        self.versions.is_none()
            && self.learned.is_none()
            && self.members.is_none()
            && self.consensus.is_empty()
    }
}

#[derive(Default)]
struct WriteQueue {
    pending: Mutex<PendingWrites>,
    changed: Condvar,
    failed_writes: AtomicU64,
}

impl WriteQueue {
    fn lock(&self) -> MutexGuard<'_, PendingWrites> {
        self.pending.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn update(&self, change: impl FnOnce(&mut PendingWrites)) {
        change(&mut self.lock());
        self.changed.notify_one();
    }

    /// Waits until a write is pending, and takes all pending writes.
    fn take_pending(&self) -> PendingWrites {
        let mut pending = self.lock();
        while pending.is_empty() {
            pending = self.changed.wait(pending).unwrap_or_else(|e| e.into_inner());
        }
        let on_durable = pending.on_durable.clone();
        let taken = std::mem::take(&mut *pending);
        pending.on_durable = on_durable;
        taken
    }
}

/// Handle to a directory in which state is persisted. Cheap to clone.
#[derive(Clone)]
pub struct Store(Arc<WriteQueue>);

impl Store {
    /// Starts the writer thread.
    pub fn start(dir: &Path, log: &Logger) -> io::Result<Store> {
        let queue = Arc::new(WriteQueue::default());
        let mut writer = Writer {
            queue: queue.clone(),
            dir: dir.to_path_buf(),
            log: log.clone(),
            versions: VersionsFile::default(),
            files: FilesRead::default(),
            consensus_failed: false,
            last_reported_failures: 0,
        };
        std::thread::Builder::new().name("store".into()).spawn(move || writer.run())?;
        Ok(Store(queue))
    }

    /// Queues versions to be written.
    ///
    /// Only the last queued state is written. The steps appended for it lead from the content of the file to that
    /// state, so that no change is lost or written twice. The cost to the caller does not grow with the size of the
    /// version.
    pub fn save_versions(&self, state: PersistedState, files: VersionHash) {
        self.0.update(|pending| pending.versions = Some(PendingVersions { state, files }));
    }

    /// Queues learned values to be written. Only the last queued values are written.
    pub fn save_learned(&self, learned: Snapshot) {
        self.0.update(|pending| pending.learned = Some(learned));
    }

    /// Queues the text of the known members to be written. Only the last queued text is written.
    pub fn save_members(&self, text: String) {
        self.0.update(|pending| pending.members = Some(text));
    }

    /// Queues writes of a voter. Each of them is written, in this order, and `on_durable` is called afterwards.
    pub fn save_consensus(&self, writes: Vec<DiskWrite>, on_durable: &Arc<OnDurable>) {
        self.0.update(|pending| {
            pending.consensus.extend(writes);
            pending.on_durable = Some(on_durable.clone());
        });
    }

    /// Returns the number of failed writes.
    pub fn failed_writes(&self) -> u64 {
        self.0.failed_writes.load(Ordering::Relaxed)
    }
}

/// State of the writer thread.
struct Writer {
    queue: Arc<WriteQueue>,
    dir: PathBuf,
    log: Logger,
    versions: VersionsFile,
    files: FilesRead,
    /// Whether a write of the voter's file has failed, so that the file may end in an incomplete record.
    consensus_failed: bool,
    /// Number of failures at the last report. Reports are logged at the first, second, fourth failure and so on, so
    /// that a directory that stays full or read-only does not flood the log.
    last_reported_failures: u64,
}

impl Writer {
    fn run(&mut self) {
        loop {
            let pending = self.queue.take_pending();
            let results = self.write(pending);
            results.into_iter().filter_map(Result::err).for_each(|error| self.report(&error));
        }
    }

    fn write(&mut self, pending: PendingWrites) -> [io::Result<()>; 4] {
        let dir = &self.dir;
        let versions = match pending.versions {
            Some(PendingVersions { state, files }) => {
                // The hash of the files must not be on disk before a version that they state.
                self.versions.write(dir, state).and_then(|()| self.files.write(dir, files))
            }
            None => Ok(()),
        };
        let learned = pending.learned.map_or(Ok(()), |learned| write_learned(dir, &learned));
        let members = pending.members.map_or(Ok(()), |text| write_members(dir, &text));
        // After a failure no write is reported as durable any more. A restart reads the file again.
        let consensus = if self.consensus_failed {
            Ok(())
        } else {
            append_consensus(dir, &pending.consensus, pending.on_durable.as_deref())
        };
        self.consensus_failed |= consensus.is_err();
        [versions, learned, members, consensus]
    }

    fn report(&mut self, error: &io::Error) {
        let failed = self.queue.failed_writes.fetch_add(1, Ordering::Relaxed) + 1;
        if failed >= self.last_reported_failures * 2 {
            self.last_reported_failures = failed;
            warn!(self.log, "the state could not be written; a restart will use what is on disk";
                "path" => %self.dir.display(), "why" => %error, "times" => failed);
        }
    }
}
