//! A keeper: one of a few named members whose majority puts versions in one order and on disk, by the crate `raft`.

use crate::storage::{open, seal, Record, Shelf};
use crate::version_log::{Book, Command, Outcome, Ticket};
use asterrill::Us;
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message, MessageType};
use raft::storage::Storage;
use raft::{RawNode, ReadOnlyOption, StateRole};
use std::collections::{BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

const ELECTION: usize = 10; // ticks without a word of a leader until another may be elected
const HEARTBEAT: usize = 2;
const PIECE: u64 = 32 * 1024; // bytes of entries in a message
const LOG: usize = 512; // entries beside the image
const UNSETTLED: u64 = 1 << 20; // bytes of proposals that are not settled yet

/// What is to be put on disk: bytes to append, or in place of all that stands there.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    pub number: u64,
    pub bytes: Vec<u8>,
    pub anew: bool,
}

/// Whether whole bytes follow those of a record that is not: then it was not just torn at its end.
fn damaged(disk: &[u8], whole: usize) -> bool {
    let Some(rest) = disk.get(whole..).filter(|rest| rest.len() > 4) else { return false };
    let length = rest.get(..4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes) as usize;
    rest.len() > length.saturating_add(crate::storage::HEAD)
}

struct Waiting {
    number: u64,
    records: Vec<Record>,
    messages: Vec<Message>,
}

/// See the module's page.
pub struct Keeper {
    node: RawNode<Shelf>,
    own: u64,
    pub book: Book,
    waiting: VecDeque<Waiting>,
    pub out: Vec<(u64, Vec<u8>)>,
    pub writes: Vec<Write>,
    writing: u64,
    /// Numbers of barriers that a majority has passed: this one led after they were asked for.
    pub passed: Vec<u64>,
    pub told: Vec<(Ticket, Outcome)>,
    tick: Us,
    next: Us,
    /// Its file is lost or damaged: it knows less than it once said, and has no vote until it has caught up.
    voteless: bool,
    /// Keepers that said that they have nothing either.
    empty: BTreeSet<u64>,
    voters: usize,
    /// Whoever leads is to be told that this one has less than it had.
    pub behind: Option<u64>,
}

impl Keeper {
    /// `own`: its number, from 1 to `voters`; `disk`: the bytes that stand in its file. Hands back how many of them are
    /// whole as well: the rest is to be cut off.
    pub fn new(
        now: Us, own: u64, voters: usize, tick: Us, disk: &[u8],
    ) -> Result<(Keeper, usize), raft::Error> {
        let (records, whole) = open(disk);
        // What is torn at its end was never said to stand. All that is damaged otherwise may have been.
        let voteless = records.is_empty() || damaged(disk, whole);
        let mut shelf = Shelf::new(voters);
        records.iter().for_each(|record| shelf.take(record));
        // What was committed and is not there was cut off: the others have it.
        let last = shelf.last_index()?;
        shelf.hard.set_commit(shelf.hard.get_commit().min(last));
        let (index, _, image) = shelf.image();
        let (applied, book) = (*index, Book::read(image).unwrap_or_default());
        let terms = raft::Config {
            id: own,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied,
            max_size_per_msg: PIECE,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            read_only_option: ReadOnlyOption::Safe,
            max_uncommitted_size: UNSETTLED,
            max_committed_size_per_ready: UNSETTLED,
            ..raft::Config::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&terms, shelf, &log)?;
        let (out, writes, passed, told) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let (waiting, writing, next) = (VecDeque::new(), 0, now + tick);
        #[rustfmt::skip]
        let mut keeper = Keeper {
            node, own, book, waiting, out, writes, writing, passed, told, tick, next, voteless, voters,
            empty: BTreeSet::from([own]), behind: None,
        };
        keeper.begin();
        keeper.drive();
        Ok((keeper, whole))
    }

    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }
    /// The number of the keeper that leads, as far as this one knows.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|id| *id > 0)
    }
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }
    pub fn own(&self) -> u64 {
        self.own
    }
    pub fn next(&self) -> Us {
        self.next
    }

    pub fn tick(&mut self, now: Us) {
        if now >= self.next {
            // A pause is one tick: what was not heard meanwhile is this one's own fault.
            self.next = now + self.tick;
            if !self.voteless {
                self.node.tick();
            }
            self.drive();
        }
    }
    pub fn is_voteless(&self) -> bool {
        self.voteless
    }
    /// It has nothing at all: perhaps there never was anything.
    pub fn is_empty(&self) -> bool {
        self.last() == 0
    }
    /// Another keeper has nothing either. Once all of them have said so there never was anything, and it begins.
    pub fn other_is_empty(&mut self, id: u64) {
        self.empty.insert(id);
        self.begin();
    }
    fn begin(&mut self) {
        if self.is_empty() && self.empty.len() >= self.voters {
            self.voteless = false;
        }
    }
    fn last(&self) -> u64 {
        self.node.raft.raft_log.last_index()
    }
    /// A keeper has less than it had: it is told all from the start again.
    pub fn other_is_behind(&mut self, id: u64) {
        if let Some(progress) = self.node.raft.mut_prs().get_mut(id).filter(|_| id != self.own) {
            (progress.matched, progress.next_idx) = (0, 1);
            progress.become_probe();
        }
    }

    /// Whether a message fits what this one has: `raft` takes one that doesn't for a defect of its own.
    fn fits(&self, message: &Message) -> bool {
        let log = &self.node.raft.raft_log;
        let term = |index: u64| log.term(index).unwrap_or(0);
        let same = |index: u64, of: u64| {
            index == 0 || index > log.committed || term(index) == 0 || term(index) == of
        };
        match message.get_msg_type() {
            MessageType::MsgHeartbeat => message.get_commit() <= self.last(),
            MessageType::MsgAppend => {
                same(message.get_index(), message.get_log_term())
                    && message.get_entries().iter().all(|e| same(e.get_index(), e.get_term()))
            }
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote => !self.voteless,
            MessageType::MsgHup | MessageType::MsgBeat | MessageType::MsgPropose => false,
            _ => true,
        }
    }
    /// A message of another keeper. One that makes no sense is dropped.
    pub fn message(&mut self, from: u64, bytes: &[u8]) -> bool {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return false };
        if message.get_from() != from || message.get_to() != self.own {
            return false;
        }
        if !self.fits(&message) {
            let heartbeat = message.get_msg_type() == MessageType::MsgHeartbeat;
            self.behind = Some(from).filter(|_| heartbeat).or(self.behind);
            return heartbeat || self.voteless;
        }
        let (append, commit) = (message.get_msg_type() == MessageType::MsgAppend, message.get_commit());
        let fine = self.node.step(message).is_ok();
        self.drive();
        // All that whoever leads knew to be settled when it sent this is here now.
        if append && self.voteless && self.last() > 0 && self.node.raft.raft_log.committed >= commit {
            self.voteless = false;
        }
        fine
    }
    /// False if it could not be proposed: this one does not lead, or too much waits.
    pub fn propose(&mut self, command: &Command) -> bool {
        let Ok(bytes) = postcard::to_stdvec(command) else { return false };
        let fine = self.leads() && self.node.propose(Vec::new(), bytes).is_ok();
        self.drive();
        fine
    }
    /// Asks for a barrier: once a majority has answered after this moment, its number is among `passed`.
    pub fn barrier(&mut self, number: u64) {
        self.node.read_index(number.to_le_bytes().to_vec());
        self.drive();
    }
    /// What was to be put on disk up to this number stands there.
    pub fn persisted(&mut self, number: u64) {
        while self.waiting.front().is_some_and(|w| w.number <= number) {
            self.settle();
        }
        self.drive();
    }

    fn settle(&mut self) {
        let Some(waiting) = self.waiting.pop_front() else { return };
        // First that it stands: `raft` ends the process over an image that is applied and does not stand yet.
        self.node.on_persist_ready(waiting.number);
        for record in &waiting.records {
            if let Record::Image(index, _, bytes) = record {
                self.book = Book::read(bytes).unwrap_or_default();
                self.node.advance_apply_to(*index);
            }
        }
        self.post(waiting.messages);
    }

    fn post(&mut self, messages: Vec<Message>) {
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                self.out.push((message.get_to(), bytes));
            }
        }
    }

    /// How long this one waits for a leader follows from its number and the term, not from chance of `raft`'s own, so that
    /// what happens can be played again.
    fn patience(&mut self) {
        let drawn = xxh3_64(&[self.own.to_le_bytes(), self.node.raft.term.to_le_bytes()].concat());
        self.node.raft.set_randomized_election_timeout(ELECTION + (drawn % ELECTION as u64) as usize);
    }

    /// Does all that is ready to be done.
    fn drive(&mut self) {
        self.patience();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            let number = ready.number();
            let messages = ready.take_messages();
            self.post(messages);
            let mut records = Vec::new();
            if !ready.snapshot().is_empty() {
                let (snapshot, about) = (ready.snapshot(), ready.snapshot().get_metadata());
                records.push(Record::Image(
                    about.get_index(),
                    about.get_term(),
                    snapshot.get_data().to_vec(),
                ));
            }
            let entries = ready.take_entries();
            records.extend(entries.iter().filter_map(|e| e.write_to_bytes().ok().map(Record::Entry)));
            if let Some(hard) = ready.hs() {
                records.push(Record::Hard(hard.get_term(), hard.get_vote(), hard.get_commit()));
            }
            for state in ready.take_read_states() {
                let number = state.request_ctx.as_slice().try_into().map(u64::from_le_bytes);
                self.passed.extend(number);
            }
            let committed = ready.take_committed_entries();
            let messages = ready.take_persisted_messages();
            // Readable from here on; messages that rest on it wait until it stands on disk.
            records.iter().for_each(|record| self.node.mut_store().take(record));
            self.node.advance_append_async(ready);
            self.apply(committed);
            if !records.is_empty() {
                self.writing = number;
                self.writes.push(Write { number, bytes: seal(&records), anew: false });
            }
            self.waiting.push_back(Waiting { number, records, messages });
            // What has nothing to be written waits for nothing but what is before it.
            while self.waiting.front().is_some_and(|w| w.records.is_empty()) {
                self.settle();
            }
        }
        if self.waiting.is_empty() && self.node.store().len() > LOG {
            self.compact();
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.get_entry_type() == EntryType::EntryNormal && !entry.get_data().is_empty() {
                if let Ok(command) = postcard::from_bytes(entry.get_data()) {
                    self.told.extend(self.book.take(command));
                }
            }
            self.node.advance_apply_to(entry.get_index());
        }
    }

    /// The log up to here becomes an image.
    fn compact(&mut self) {
        let applied = self.node.raft.raft_log.applied;
        let Ok(term) = self.node.store().term(applied) else { return };
        if applied <= self.node.store().image().0 {
            return;
        }
        let image = Record::Image(applied, term, self.book.image());
        let shelf = self.node.mut_store();
        shelf.take(&image);
        let bytes = seal(&shelf.records());
        self.writes.push(Write { number: self.writing, bytes, anew: true });
    }
}
