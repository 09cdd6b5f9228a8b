//! The thread that writes: each file completely or not at all, the newest state first, and versions before anything else.

use super::checksummed::{write_learned, write_members};
use super::consensus::{append_consensus, OnDurable};
use super::versions::VersionsFile;
use asterrill_consensus::DiskWrite;
use asterrill_recovery::Snapshot;
use asterrill_rollout::PersistedState;
use slog::{warn, Logger};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

/// What is to be written next.
#[derive(Default)]
struct PendingWrites {
    versions: Option<PersistedState>,
    learned: Option<Snapshot>,
    members: Option<String>,
    /// What a voter has to have on disk, in this order.
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

    /// Waits until something is to be written, and takes it.
    fn next(&self) -> PendingWrites {
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

/// A directory where state persists. Cheap to clone.
#[derive(Clone)]
pub struct Store(Arc<WriteQueue>);

impl Store {
    /// Starts the thread that writes.
    pub fn start(dir: &Path, log: &Logger) -> io::Result<Store> {
        let queue = Arc::new(WriteQueue::default());
        let mut writer = Writer {
            queue: queue.clone(),
            dir: dir.to_path_buf(),
            log: log.clone(),
            versions: VersionsFile::default(),
            consensus_failed: false,
            last_reported_failures: 0,
        };
        std::thread::Builder::new().name("store".into()).spawn(move || writer.run())?;
        Ok(Store(queue))
    }

    /// From now on this is to be on disk. Of several states the last counts: what is appended leads to it from what is
    /// there, so at most one waits, nothing is left out and nothing is written twice. Costs the caller nothing that
    /// grows with the version.
    pub fn save_versions(&self, state: PersistedState) {
        self.0.update(|pending| pending.versions = Some(state));
    }

    /// The same for what was learned.
    pub fn save_learned(&self, learned: Snapshot) {
        self.0.update(|pending| pending.learned = Some(learned));
    }

    /// The same for who the members are.
    pub fn save_members(&self, text: String) {
        self.0.update(|pending| pending.members = Some(text));
    }

    /// What a voter has to have on disk: each of it is written, in this order.
    pub fn save_consensus(&self, writes: Vec<DiskWrite>, on_durable: &Arc<OnDurable>) {
        self.0.update(|pending| {
            pending.consensus.extend(writes);
            pending.on_durable = Some(on_durable.clone());
        });
    }

    /// Times that something could not be written.
    pub fn failed_writes(&self) -> u64 {
        self.0.failed_writes.load(Ordering::Relaxed)
    }
}

/// The state of the thread.
struct Writer {
    queue: Arc<WriteQueue>,
    dir: PathBuf,
    log: Logger,
    versions: VersionsFile,
    /// A write of the voter's file has failed: what is there may end in the middle.
    consensus_failed: bool,
    /// Failures at the last report: a directory that stays full or read-only is reported at its first, second, fourth
    /// failure.
    last_reported_failures: u64,
}

impl Writer {
    fn run(&mut self) {
        loop {
            let pending = self.queue.next();
            let results = self.write(pending);
            results.into_iter().filter_map(Result::err).for_each(|error| self.report(&error));
        }
    }

    fn write(&mut self, pending: PendingWrites) -> [io::Result<()>; 4] {
        let dir = &self.dir;
        let versions = match pending.versions {
            Some(state) => self.versions.write(dir, state),
            None => Ok(()),
        };
        let learned = pending.learned.map_or(Ok(()), |learned| write_learned(dir, &learned));
        let members = pending.members.map_or(Ok(()), |text| write_members(dir, &text));
        // After a failure nothing more is reported as durable. A restart reads anew what is there.
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
            warn!(self.log, "the state could not be written: a restart starts with what is on disk";
                "path" => %self.dir.display(), "why" => %error, "times" => failed);
        }
    }
}
