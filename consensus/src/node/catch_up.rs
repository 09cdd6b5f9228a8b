//! Fetching of missing versions by nodes that are not voters.
//!
//! A voter sends steps while it retains them, otherwise a complete version in parts.

use super::state::{IncomingVersion, Node};
use crate::message::{Message, PartialTransfer};
use crate::step::Step;
use crate::version::{Version, VersionContents};

/// Maximum length of the steps in one message.
const MAX_STEPS_BYTES: usize = 16 * 1024;
/// Maximum length of the part of a complete version in one message.
const MAX_PART_BYTES: usize = 16 * 1024;
const MAX_VERSION_BYTES: usize = 64 << 20;

impl Node {
    /// Requests the missing versions up to `newest` from a voter. A transfer of that version that has begun is continued.
    pub(super) fn fetch_missing(&mut self, from: &str, newest: u64, hash: u64) {
        let incoming = self.incoming_version.as_ref().filter(|i| i.number == newest && i.hash == hash);
        let transfer = incoming.map(IncomingVersion::transfer);
        self.send_fetch(from, transfer);
    }

    fn send_fetch(&mut self, to: &str, transfer: Option<PartialTransfer>) {
        let own = self.replica_log.newest();
        self.send(to, &Message::Fetch { number: own.number, hash: own.hash(), transfer });
    }

    /// Answers another node that lacks versions after `number`.
    pub(super) fn on_fetch(&mut self, from: &str, number: u64, hash: u64, transfer: Option<PartialTransfer>) {
        let steps = self.version_log().steps_after(number, hash, MAX_STEPS_BYTES);
        if let Some(steps) = steps.filter(|_| transfer.is_none()) {
            let last = self.version_log().version(number + steps.len() as u64);
            let hash = last.map_or(0, |version| version.hash());
            return self.send(from, &Message::Steps { after: number, steps, hash });
        }
        let newest = PartialTransfer { number: self.version_log().number(), offset: 0 };
        if let Some(part) = self.version_part(transfer.unwrap_or(newest)) {
            self.send(from, &part);
        }
    }

    /// Returns the next part of a version; `None` if this node does not have the version, or the offset is beyond its end.
    fn version_part(&self, transfer: PartialTransfer) -> Option<Message> {
        let PartialTransfer { number, offset } = transfer;
        let version = self.version_log().version(number).filter(|version| !version.is_empty())?;
        let bytes = postcard::to_stdvec(&version.contents()).ok()?;
        let rest = bytes.get(offset as usize..)?;
        let part = rest.get(..MAX_PART_BYTES.min(rest.len()))?.to_vec();
        let (hash, total) = (version.hash(), bytes.len() as u64);
        Some(Message::VersionPart { number, hash, offset, total, bytes: part })
    }

    /// Handles received steps after a version.
    pub(super) fn on_steps(&mut self, after: u64, steps: Vec<Step>, hash: u64) {
        let expected = self.voter.is_none() && after == self.replica_log.number();
        if expected && self.replica_log.apply_steps(steps, hash) {
            self.on_caught_up();
        }
    }

    /// Handles a received part of a version.
    pub(super) fn on_version_part(
        &mut self, from: &str, number: u64, hash: u64, offset: u64, total: u64, bytes: &[u8],
    ) {
        let wanted = self.voter.is_none() && number > self.replica_log.number();
        if !wanted || total as usize > MAX_VERSION_BYTES || bytes.is_empty() {
            return;
        }
        let incoming = self.incoming_version.take().filter(|i| i.number == number && i.hash == hash);
        let mut incoming = incoming.unwrap_or_else(|| IncomingVersion::new(number, hash));
        if incoming.received() != offset {
            self.incoming_version = Some(incoming);
            return;
        }
        incoming.bytes.extend_from_slice(bytes);
        if incoming.received() < total {
            let transfer = Some(incoming.transfer());
            self.incoming_version = Some(incoming);
            return self.send_fetch(from, transfer);
        }
        match incoming.into_version() {
            Some(version) => {
                self.replica_log.reset_to(version);
                self.on_caught_up();
            }
            None => self.counters.invalid_messages += 1,
        }
    }

    /// Schedules an immediate lease request, which reports the versions that this node has obtained.
    fn on_caught_up(&mut self) {
        self.counters.catch_ups += 1;
        self.next_renewal = self.next_renewal.min(self.now);
    }
}

impl IncomingVersion {
    fn new(number: u64, hash: u64) -> IncomingVersion {
        IncomingVersion { number, hash, bytes: Vec::new() }
    }

    fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    fn transfer(&self) -> PartialTransfer {
        PartialTransfer { number: self.number, offset: self.received() }
    }

    /// Decodes the version. Returns `None` if the bytes are not a version with the announced hash.
    fn into_version(self) -> Option<Version> {
        let contents = postcard::from_bytes::<VersionContents>(&self.bytes).ok()?;
        Version::from_contents(contents, self.hash)
    }
}
