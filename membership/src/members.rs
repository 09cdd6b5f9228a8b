//! The state machine of one member: datagrams and time in, datagrams and events out.

use crate::envelope::{Dropped, Seal};
use crate::id::{Id, Name};
use crate::lease::{self, Lease};
use crate::view::{Evidence, Quorum, View};
use asterrill::Us;
use bytes::Buf;
use foca::{
    Codec, Foca, Header, Message, NoCustomBroadcast, Notification, PostcardCodec, Runtime, State, Timer,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

const MOST: usize = 2048; // members that are kept in mind, those that failed included
const PACKET: usize = 1200; // bytes of a datagram's payload: whole on any path
const TIMERS: usize = 4 * MOST;
const WORDS: usize = 4_096; // of other members that wait to be taken
const EVENTS: usize = 1024; // that wait to be told; older ones go
const SOURCES: usize = 4096; // addresses whose rates are watched
const BURST: f64 = 2_000.0; // datagrams that one address may send at once
const RATE: f64 = 1_000.0; // and those a second
const FLAPS: f64 = 2.5; // times that a member came back, over `calm`, until it counts as flapping
const HELD: Us = 20_000; // a wake up to so late is a busy machine, not a pause

/// The intervals, as the operator sets them. Microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Between probes; a quarter of it is waited for a direct answer.
    pub probe: Us,
    /// From a probe that failed until a member counts as failed.
    pub suspicion: Us,
    /// Between greetings of contacts while someone is missing.
    pub greet: Us,
    /// Until a newcomer is agreed on; and until one that is gone is agreed on no more.
    pub settle: Us,
    pub forget: Us,
    /// Over which flaps are counted.
    pub calm: Us,
    /// Members that the operator expects at the least.
    pub expect: usize,
}

/// What became known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Up {
        name: Name,
        at: SocketAddr,
        start: u64,
    },
    /// By this member's own probes or others' words.
    Suspect {
        name: Name,
        why: &'static str,
    },
    Failed {
        name: Name,
    },
    Left {
        name: Name,
    },
    Flaps {
        name: Name,
    },
    Calm {
        name: Name,
    },
    /// Another process goes by this name. The later start stays; `out` if that is not this one.
    Twin {
        at: SocketAddr,
        out: bool,
    },
    /// It was taken for failed by others and has come back.
    Doubted,
    /// It was paused, or starved, for so long.
    Paused {
        span: Us,
    },
    View {
        view: View,
        evidence: Evidence,
    },
    Part {
        of_1000: u32,
    },
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub taken: u64,
    pub short: u64,
    pub foreign: u64,
    pub forged: u64,
    pub replayed: u64,
    pub flooded: u64,
    /// Whole and of the key, and yet not understood or with names that are none.
    pub odd: u64,
    /// Beyond the members that are kept in mind.
    pub full: u64,
    pub pauses: u64,
}

/// Where a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Alive,
    Suspect,
    Failed,
    Left,
}

/// One member as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    pub id: Id,
    pub standing: Standing,
    pub since: Us,
    /// A datagram of it came last, by this machine's clock; none if it was never heard.
    pub heard: Option<Us>,
    pub round_trip: Option<Us>,
    pub why: &'static str,
    pub flaps: bool,
}

struct Known {
    id: Id,
    standing: Standing,
    since: Us,
    heard: Option<Us>,
    round_trip: Option<Us>,
    why: &'static str,
    /// Times that it came back, fading.
    flaps: f64,
    flapped: Us,
    damped: bool,
}

/// What `foca` wants done, until it is done.
#[derive(Default)]
struct Todo {
    send: Vec<(Id, Vec<u8>)>,
    after: Vec<(Timer<Id>, Us)>,
    up: Vec<Id>,
    down: Vec<Id>,
    renamed: Vec<(Id, Id)>,
    undead: bool,
    back: bool,
}

impl Runtime<Id> for &mut Todo {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        match notification {
            Notification::MemberUp(id) => self.up.push(id.clone()),
            Notification::MemberDown(id) => self.down.push(id.clone()),
            Notification::Rename(before, after) => self.renamed.push((before.clone(), after.clone())),
            Notification::Defunct => self.undead = true,
            Notification::Rejoin(_) => self.back = true,
            Notification::Active | Notification::Idle => {}
        }
    }
    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }
    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        self.after.push((event, after.as_micros() as Us));
    }
}

/// What a payload begins with.
const SWIM: u8 = 0;
const LEAVING: u8 = 1;
const WORD: u8 = 2;

/// See the package's page.
pub struct Members {
    foca: Foca<Id, PostcardCodec, StdRng, NoCustomBroadcast>,
    own: Id,
    seal: Seal,
    terms: Terms,
    now: Us,
    timers: BTreeMap<(Us, u64), Timer<Id>>,
    timer: u64,
    known: BTreeMap<Name, Known>,
    /// Members that may be there or not since the last look: a look costs what has changed, not what there is.
    changed: BTreeSet<Name>,
    /// Members that `foca` may suspect, and those that count as suspected here.
    doubtful: BTreeSet<Name>,
    /// Members that are damped.
    flapping: BTreeSet<Name>,
    /// Of senders, by number, their names.
    senders: BTreeMap<u64, Name>,
    rates: BTreeMap<SocketAddr, (f64, Us)>,
    contacts: Vec<SocketAddr>,
    greet: Us,
    asked: BTreeMap<Name, Us>,
    quorum: Quorum,
    lease: Lease,
    /// The members for which the intervals were set last.
    sized: usize,
    chance: StdRng,
    out: Vec<(SocketAddr, Vec<u8>)>,
    events: VecDeque<Event>,
    words: VecDeque<(Name, Vec<u8>)>,
    leaving: bool,
    /// A later start of the same name is about: this one says nothing any more.
    displaced: bool,
    /// Since the last pause, who was heard; until that is a majority nothing is believed.
    doubts: Option<BTreeSet<Name>>,
    pub counts: Counts,
}

fn span(us: Us) -> Duration {
    Duration::from_micros(us)
}

fn settings_of(terms: &Terms, members: usize) -> foca::Config {
    let one = NonZeroUsize::MIN;
    let every =
        |us: Us, num_members: NonZeroUsize| Some(foca::PeriodicParams { frequency: span(us), num_members });
    foca::Config {
        probe_period: span(terms.probe),
        probe_rtt: span(terms.probe / 4),
        num_indirect_probes: NonZeroUsize::new(3).unwrap_or(one),
        max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: span(lease::grown(terms.suspicion, members)),
        // Kept in mind for long, or a late word brings one back that failed.
        remove_down_after: Some(span(terms.forget)),
        max_packet_size: NonZeroUsize::new(PACKET).unwrap_or(one),
        notify_down_members: true,
        periodic_announce: every(terms.greet * 4, one),
        periodic_announce_to_down_members: every(terms.greet, one),
        periodic_gossip: every(terms.probe, one),
    }
}

impl Members {
    /// `contacts`: where others may be, from a list and from who was known before; `kept`: the names that were agreed on.
    pub fn new(
        now: Us, own: Id, seal: Seal, terms: Terms, contacts: Vec<SocketAddr>, kept: BTreeSet<Name>,
        seed: u64,
    ) -> Members {
        let mut chance = StdRng::seed_from_u64(seed);
        let foca = Foca::new(
            own.clone(),
            settings_of(&terms, terms.expect.max(kept.len())),
            StdRng::seed_from_u64(chance.random()),
            PostcardCodec,
        );
        let quorum = Quorum::new(now, own.name.clone(), terms.expect, kept, terms.settle, terms.forget);
        let lease = Lease::new(lease::Terms::of(terms.probe, terms.suspicion, quorum.size()));
        let contacts = contacts.into_iter().filter(|at| *at != own.at).collect();
        Members {
            foca,
            own,
            seal,
            terms,
            now,
            timers: BTreeMap::new(),
            timer: 0,
            known: BTreeMap::new(),
            changed: BTreeSet::new(),
            doubtful: BTreeSet::new(),
            flapping: BTreeSet::new(),
            senders: BTreeMap::new(),
            rates: BTreeMap::new(),
            contacts,
            greet: now,
            asked: BTreeMap::new(),
            quorum,
            lease,
            sized: 0,
            chance,
            out: Vec::new(),
            events: VecDeque::new(),
            words: VecDeque::new(),
            leaving: false,
            displaced: false,
            doubts: None,
            counts: Counts::default(),
        }
    }

    /// What is to be sent now, and where.
    pub fn take_out(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }
    /// What became known since the last time.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }
    pub fn view(&self) -> View {
        self.quorum.view()
    }
    pub fn evidence(&self) -> Evidence {
        self.quorum.evidence(&self.there())
    }
    /// Of 1, the part that this member may take of what all share.
    pub fn part(&self) -> f64 {
        if self.doubts.is_some() || self.displaced {
            0.0
        } else {
            self.lease.part()
        }
    }
    /// The size that was agreed on.
    pub fn size(&self) -> usize {
        self.quorum.size()
    }
    pub fn own(&self) -> &Id {
        self.foca.identity()
    }
    pub fn is_out(&self) -> bool {
        self.displaced
    }
    /// Who was agreed on, and where those are: to be kept for the next start.
    pub fn to_keep(&self) -> (Vec<Name>, Vec<SocketAddr>) {
        let at = |known: &Known| known.id.at;
        let there = self.known.values().filter(|k| k.standing == Standing::Alive);
        (self.quorum.agreed().iter().cloned().collect(), there.map(at).collect())
    }
    /// From a loss until others may take what the lost had: what the operators' page promises.
    pub fn transition(&self) -> Us {
        lease::Terms::of(self.terms.probe, self.terms.suspicion, self.quorum.size()).wait()
    }
    pub fn shown(&self) -> Vec<Shown> {
        let one = |k: &Known| Shown {
            id: k.id.clone(),
            standing: k.standing,
            since: k.since,
            heard: k.heard,
            round_trip: k.round_trip,
            why: k.why,
            flaps: k.damped,
        };
        self.known.values().map(one).collect()
    }

    /// Others that are there: alive or under suspicion, not flapping.
    fn there(&self) -> BTreeSet<Name> {
        let on = |k: &&Known| matches!(k.standing, Standing::Alive | Standing::Suspect) && !k.damped;
        self.known.values().filter(on).map(|k| k.id.name.clone()).collect()
    }

    /// Whether one is there, and whether it is with those that flap: they do not count for the view, but what they hold
    /// is theirs.
    fn stands(&self, name: &Name) -> (bool, bool) {
        let known = self.known.get(name);
        let known = known.filter(|k| matches!(k.standing, Standing::Alive | Standing::Suspect));
        (known.is_some_and(|k| !k.damped), known.is_some())
    }

    fn tell(&mut self, event: Event) {
        if self.events.len() >= EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// When `tick` is wanted next.
    pub fn next(&self) -> Us {
        if self.displaced || self.leaving {
            return Us::MAX;
        }
        let timer = self.timers.first_key_value().map_or(Us::MAX, |((at, _), _)| *at);
        timer.min(self.greet).max(self.now)
    }

    /// A datagram came from an address. Whatever it holds, nothing but this member's picture of others changes.
    pub fn datagram(&mut self, now: Us, from: SocketAddr, bytes: &[u8]) {
        if self.displaced || self.leaving {
            return;
        }
        // A datagram may be the first that is heard of after a pause: doubt comes before it.
        self.pass(now);
        if !self.allowed(from) {
            self.counts.flooded += 1;
            return;
        }
        let (sender, start, payload) = match self.seal.open(bytes) {
            Ok((sender, start, payload)) => (sender, start, payload.to_vec()),
            Err(dropped) => {
                let count = match dropped {
                    Dropped::Short => &mut self.counts.short,
                    Dropped::OtherVersion | Dropped::OtherCluster => &mut self.counts.foreign,
                    Dropped::Forged => &mut self.counts.forged,
                    Dropped::Replayed => &mut self.counts.replayed,
                };
                *count += 1;
                return;
            }
        };
        match payload.split_first() {
            Some((&SWIM, rest)) => self.swim(sender, start, rest),
            Some((&LEAVING, _)) => self.other_leaves(sender, start),
            Some((&WORD, word)) => self.word(sender, start, word),
            _ => self.counts.odd += 1,
        }
        self.settle();
    }

    /// Guards against one address that takes all of this member's time. Harm: a burst of a true member is cut, and
    /// what was in it is gossiped again.
    fn allowed(&mut self, from: SocketAddr) -> bool {
        if self.rates.len() >= SOURCES && !self.rates.contains_key(&from) {
            let now = self.now;
            self.rates.retain(|_, (room, at)| *room + RATE * (now - *at) as f64 / 1e6 < BURST);
            if self.rates.len() >= SOURCES {
                return false;
            }
        }
        let (room, at) = self.rates.entry(from).or_insert((BURST, self.now));
        *room = (*room + RATE * (self.now - *at) as f64 / 1e6).min(BURST);
        *at = self.now;
        let fine = *room >= 1.0;
        *room -= f64::from(u8::from(fine));
        fine
    }

    /// Reads a datagram of `foca` ahead: who sent it, and whether all that stands in it may be taken in.
    fn ahead(&self, mut bytes: &[u8]) -> Option<(Header<Id>, Vec<foca::Member<Id>>)> {
        let header: Header<Id> = PostcardCodec.decode_header(&mut bytes).ok()?;
        let mut told = Vec::new();
        if bytes.remaining() >= 2 {
            for _ in 0..bytes.get_u16() {
                let member: foca::Member<Id> = PostcardCodec.decode_member(&mut bytes).ok()?;
                told.push(member);
            }
        }
        let fine = header.src.fits() && told.iter().all(|m| m.id().fits()) && bytes.is_empty();
        fine.then_some((header, told))
    }

    fn swim(&mut self, sender: u64, start: u64, bytes: &[u8]) {
        let Some((header, told)) = self.ahead(bytes) else {
            self.counts.odd += 1;
            return;
        };
        // Who seals a datagram speaks for itself only.
        if Seal::number(header.src.name.as_str()) != sender || header.src.start != start {
            self.counts.odd += 1;
            return;
        }
        let all = || std::iter::once(&header.src).chain(told.iter().map(foca::Member::id));
        let twin = all().find(|id| self.is_twin(id)).cloned();
        if let Some(twin) = twin {
            if self.meets(&twin) {
                return;
            }
        }
        let fresh = all().filter(|id| !self.known.contains_key(&id.name)).count();
        if self.foca.iter_membership_state().len() + fresh > MOST {
            self.counts.full += 1;
            return;
        }
        self.counts.taken += 1;
        let name = header.src.name.clone();
        if self.senders.get(&sender) != Some(&name) {
            self.senders.insert(sender, name.clone());
        }
        let suspected = told.iter().filter(|m| m.state() == State::Suspect);
        self.doubtful.extend(suspected.map(|m| m.id().name.clone()));
        let mut todo = Todo::default();
        if self.foca.handle_data(bytes, &mut todo).is_err() {
            self.counts.odd += 1;
        }
        self.carry(todo);
        let trip = matches!(header.message, Message::Ack(_)).then(|| self.asked.remove(&name)).flatten();
        let now = self.now;
        if let Some(known) = self.known.get_mut(&name).filter(|k| k.id.start == start) {
            known.heard = Some(now);
            known.round_trip = trip.map(|asked| now - asked).or(known.round_trip);
            if known.id.at != header.src.at {
                known.id.at = header.src.at;
            }
        }
        // After a pause a majority has to answer before anything is believed again: what it answers was asked since, so
        // what had waited in a queue meanwhile proves nothing.
        let size = self.quorum.size();
        if let Some(heard) = &mut self.doubts {
            heard.extend(trip.map(|_| name));
            if 2 * (heard.len() + 1) > size {
                self.doubts = None;
            }
        }
    }

    /// Another process under this member's name.
    fn is_twin(&self, id: &Id) -> bool {
        id.name == self.own.name
            && id.start != self.own.start
            && (id.start > self.own.start || id.at != self.own.at)
    }
    /// The later start stays, and the earlier one stays out. True if that is this one.
    fn meets(&mut self, twin: &Id) -> bool {
        let out = twin.start > self.own.start;
        let known = self.known.get(&twin.name).is_some_and(|k| k.id.start == twin.start);
        if !known {
            self.tell(Event::Twin { at: twin.at, out });
            let (id, since) = (twin.clone(), self.now);
            let known = Known {
                id,
                standing: Standing::Failed,
                since,
                heard: None,
                round_trip: None,
                why: "it goes by this member's name",
                flaps: 0.0,
                flapped: since,
                damped: true,
            };
            self.known.insert(twin.name.clone(), known);
        }
        if out {
            self.displaced = true;
            self.timers.clear();
            self.out.clear();
            self.lease.doubt();
        }
        out
    }

    /// A word of a member for what is built on members.
    fn word(&mut self, sender: u64, start: u64, word: &[u8]) {
        let name = self
            .senders
            .get(&sender)
            .filter(|name| self.known.get(*name).is_some_and(|k| k.id.start == start));
        match name {
            Some(name) if self.words.len() < WORDS => self.words.push_back((name.clone(), word.to_vec())),
            Some(_) => self.counts.full += 1,
            None => self.counts.odd += 1,
        }
    }
    /// Words that came since the last time, and whose they are.
    pub fn take_words(&mut self) -> Vec<(Name, Vec<u8>)> {
        self.words.drain(..).collect()
    }
    /// Says a word to a member, wherever it is; lost if nobody knows of it, as on the way.
    pub fn say(&mut self, to: &Name, word: &[u8]) {
        if self.displaced || self.leaving {
            return;
        }
        let there = |k: &&Known| k.standing != Standing::Left && !k.id.at.ip().is_unspecified();
        if let Some(at) = self.known.get(to).filter(there).map(|k| k.id.at) {
            self.send(at, &[&[WORD], word].concat());
        }
    }

    fn other_leaves(&mut self, sender: u64, start: u64) {
        let Some(name) = self.senders.get(&sender).cloned() else { return };
        let Some(known) = self.known.get_mut(&name).filter(|k| k.id.start == start) else { return };
        self.counts.taken += 1;
        if known.standing != Standing::Left {
            (known.standing, known.since, known.why) = (Standing::Left, self.now, "it said so");
            self.changed.insert(name.clone());
            let down = foca::Member::down(known.id.clone());
            self.quorum.left(&name);
            self.tell(Event::Left { name });
            let mut todo = Todo::default();
            self.foca.apply_many(std::iter::once(down), false, &mut todo).unwrap_or_default();
            self.carry(todo);
        }
    }

    /// This member leaves: it says so to all that are there, so that nobody has to suspect it.
    pub fn leave(&mut self, now: Us) {
        self.now = self.now.max(now);
        if std::mem::replace(&mut self.leaving, true) || self.displaced {
            return;
        }
        let to: Vec<SocketAddr> = self
            .known
            .values()
            .filter(|k| k.standing != Standing::Left && !k.damped)
            .map(|k| k.id.at)
            .collect();
        for at in to {
            self.send(at, &[LEAVING]);
        }
        // Not gossiped besides: that would overtake the word itself, and look like a failure.
        self.timers.clear();
        self.lease.doubt();
    }

    fn send(&mut self, to: SocketAddr, payload: &[u8]) {
        let bytes = self.seal.seal(payload);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.out.push((to, bytes));
    }

    /// Carries out what `foca` wants, and takes down what became known.
    fn carry(&mut self, todo: Todo) {
        for (to, data) in todo.send {
            if let Ok(header) = PostcardCodec.decode_header(&data[..]) as Result<Header<Id>, _> {
                if matches!(header.message, Message::Ping(_)) {
                    if self.asked.len() >= MOST {
                        self.asked.clear();
                    }
                    self.asked.insert(to.name.clone(), self.now);
                }
            }
            self.send(to.at, &[&[SWIM], &data[..]].concat());
        }
        for (timer, after) in todo.after {
            if let Timer::ChangeSuspectToDown { member_id, .. } = &timer {
                self.doubtful.insert(member_id.name.clone());
            }
            if self.timers.len() < TIMERS {
                self.timer += 1;
                self.timers.insert((self.now + after, self.timer), timer);
            }
        }
        for (before, after) in todo.renamed {
            if before.name != after.name {
                self.gone(&before);
            }
            self.here(&after);
        }
        todo.up.iter().for_each(|id| self.here(id));
        todo.down.iter().for_each(|id| self.gone(id));
        if todo.back || todo.undead {
            self.tell(Event::Doubted);
            self.lease.doubt();
        }
    }

    /// A member is there.
    fn here(&mut self, id: &Id) {
        if id.name == self.own.name || !id.name.fits() {
            return;
        }
        self.changed.insert(id.name.clone());
        let (now, calm) = (self.now, self.terms.calm.max(1) as f64);
        let fresh = Known {
            id: id.clone(),
            standing: Standing::Alive,
            since: now,
            heard: None,
            round_trip: None,
            why: "",
            flaps: 0.0,
            flapped: now,
            damped: false,
        };
        match self.known.get_mut(&id.name) {
            None => drop(self.known.insert(id.name.clone(), fresh)),
            // An earlier start never takes the place of a later one, wherever it is.
            Some(known) if known.id.rank() > id.rank() => return,
            Some(known) => {
                let back = known.standing == Standing::Failed;
                known.flaps =
                    known.flaps * (-((now - known.flapped) as f64) / calm).exp() + f64::from(u8::from(back));
                known.flapped = now;
                let (flaps, flapping) = (known.flaps, known.damped);
                *known = Known { flaps, damped: flapping || flaps >= FLAPS, heard: known.heard, ..fresh };
                if known.damped && !flapping {
                    let name = id.name.clone();
                    self.flapping.insert(name.clone());
                    self.tell(Event::Flaps { name });
                }
            }
        }
        self.tell(Event::Up { name: id.name.clone(), at: id.at, start: id.start });
    }

    /// A member is not there any more.
    fn gone(&mut self, id: &Id) {
        let Some(known) = self.known.get_mut(&id.name) else { return };
        if known.id.rank() > id.rank() || matches!(known.standing, Standing::Failed | Standing::Left) {
            return;
        }
        (known.standing, known.since, known.why) =
            (Standing::Failed, self.now, "it did not answer, nor for others");
        let name = id.name.clone();
        self.changed.insert(name.clone());
        self.tell(Event::Failed { name });
    }

    /// Time has passed. Datagrams that waited have been handed in before.
    pub fn tick(&mut self, now: Us) {
        if self.displaced || self.leaving {
            return;
        }
        self.pass(now);
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let timer = entry.remove();
            let mut todo = Todo::default();
            // A timer of a connection that is over, or of a member that is gone, is none any more.
            self.foca.handle_timer(timer, &mut todo).unwrap_or_default();
            self.carry(todo);
        }
        if self.now >= self.greet {
            self.greet_some();
        }
        self.suspects();
        self.settle();
    }

    /// Time goes on. Late means that this process was paused or starved: what it did not hear is its own fault. It
    /// doubts itself before it accuses others: all that it waited for is waited for as long again.
    fn pass(&mut self, now: Us) {
        let due = self.next();
        let late = now.saturating_sub(due);
        self.now = self.now.max(now);
        if due > 0 && due != Us::MAX && late > HELD + self.terms.probe / 4 {
            self.paused(late);
        }
    }

    fn paused(&mut self, late: Us) {
        self.counts.pauses += 1;
        self.greet = self.now;
        self.asked.clear();
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers.into_iter().map(|((at, n), timer)| ((at + late, n), timer)).collect();
        if late > self.terms.suspicion {
            // Others may have taken it for failed by now, and divided what it had.
            self.doubts = Some(BTreeSet::new());
            self.lease.doubt();
            self.tell(Event::Paused { span: late });
        }
    }

    /// Guards against sides of a healed cut that have forgotten each other, and a start at which all contacts are dead.
    /// Harm: a datagram now and then to somebody who is not there.
    fn greet_some(&mut self) {
        let swing = 0.75 + 0.5 * self.chance.random::<f64>();
        self.greet = self.now + (self.terms.greet as f64 * swing) as Us;
        // No two that `foca` has are at one address.
        let count = self.foca.num_members();
        if count > 0 && count + 1 >= self.quorum.size() {
            return;
        }
        let there: BTreeSet<SocketAddr> = self.foca.iter_members().map(|m| m.id().at).collect();
        let known =
            self.known.values().filter(|k| k.standing != Standing::Left && !k.id.at.ip().is_unspecified());
        let all = self.contacts.iter().copied().chain(known.map(|k| k.id.at));
        let away: BTreeSet<SocketAddr> = all.filter(|at| !there.contains(at) && *at != self.own.at).collect();
        if away.is_empty() {
            return;
        }
        let away: Vec<SocketAddr> = away.into_iter().collect();
        for _ in 0..2 {
            let at = away[self.chance.random_range(0..away.len())];
            let mut todo = Todo::default();
            self.foca.announce(Id::at(at), &mut todo).unwrap_or_default();
            self.carry(todo);
        }
    }

    /// Takes down whom `foca` suspects, which it does not tell.
    fn suspects(&mut self) {
        if !self.doubtful.is_empty() {
            self.look_at_doubtful();
        }
        if !self.flapping.is_empty() {
            self.look_at_flapping();
        }
        if self.known.len() > MOST {
            // The ones that have been gone for longest go.
            let gone =
                self.known.values().filter(|k| matches!(k.standing, Standing::Failed | Standing::Left));
            let oldest = gone.min_by_key(|k| k.since).map(|k| k.id.name.clone());
            if let Some(name) = oldest {
                self.known.remove(&name);
                self.flapping.remove(&name);
                self.changed.insert(name);
            }
        }
    }

    /// Only those that its own probes or others' words may have brought under suspicion, and those that are under it.
    fn look_at_doubtful(&mut self) {
        let doubtful = |m: &&foca::Member<Id>| self.doubtful.contains(&m.id().name);
        let seen: Vec<(Name, u64, State)> = self
            .foca
            .iter_members()
            .filter(doubtful)
            .map(|m| (m.id().name.clone(), m.id().start, m.state()))
            .collect();
        let mut still = BTreeSet::new();
        for (name, start, state) in seen {
            if state == State::Suspect {
                still.insert(name.clone());
            }
            let Some(known) = self.known.get_mut(&name).filter(|k| k.id.start == start) else { continue };
            match (known.standing, state) {
                (Standing::Alive, State::Suspect) => {
                    (known.standing, known.since, known.why) =
                        (Standing::Suspect, self.now, "it did not answer a probe");
                    let why = known.why;
                    self.tell(Event::Suspect { name, why });
                }
                (Standing::Suspect, State::Alive) => {
                    (known.standing, known.since, known.why) = (Standing::Alive, self.now, "");
                }
                _ => {}
            }
        }
        let known = &self.known;
        let suspect = |name: &Name| known.get(name).is_some_and(|k| k.standing == Standing::Suspect);
        self.doubtful.retain(|name| still.contains(name) || suspect(name));
    }

    fn look_at_flapping(&mut self) {
        let (now, calm) = (self.now, self.terms.calm.max(1) as f64);
        let mut calmed = Vec::new();
        for name in &self.flapping {
            let Some(known) = self.known.get_mut(name) else { continue };
            let flaps = known.flaps * (-((now - known.flapped) as f64) / calm).exp();
            if flaps < FLAPS / 2.0 {
                known.damped = false;
                calmed.push(name.clone());
            }
        }
        for name in calmed {
            self.flapping.remove(&name);
            self.changed.insert(name.clone());
            self.tell(Event::Calm { name });
        }
    }

    /// The view and the part, after whatever has changed.
    fn settle(&mut self) {
        if self.displaced {
            return;
        }
        let before = self.part();
        let mut moved = std::mem::take(&mut self.changed);
        for name in &moved {
            self.quorum.is_there(name, self.stands(name).0);
        }
        if self.quorum.pass(self.now) {
            let (view, evidence) = (self.quorum.view(), self.evidence());
            self.tell(Event::View { view, evidence });
        }
        let size = self.quorum.size();
        if size != self.sized {
            // What is probed and suspected now goes on as it is; the next is waited for as long as so many need.
            self.sized = size;
            self.foca.set_config(settings_of(&self.terms, size)).unwrap_or_default();
            self.lease.change(lease::Terms::of(self.terms.probe, self.terms.suspicion, size));
        }
        moved.append(&mut self.quorum.take_moved());
        for name in &moved {
            let agreed = *name != self.own.name && self.quorum.agreed().contains(name);
            self.lease.missing(self.now, name, agreed && !self.stands(name).1);
        }
        self.lease.pass(self.now, self.quorum.view(), size);
        if self.part() != before {
            let of_1000 = (self.part() * 1_000.0).round() as u32;
            self.tell(Event::Part { of_1000 });
        }
    }
}

#[cfg(test)]
#[path = "tests/members.rs"]
mod tests;
