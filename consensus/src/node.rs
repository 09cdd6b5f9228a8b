//! One node: perhaps a keeper, always a holder. Messages, time and wishes in; messages, writes and a gate out.

use crate::apply_policy::Gate;
use crate::fragment::{split, Pieces};
use crate::lease::{stated, Asked, Held, Office};
use crate::state::{Change, State, Step, Whole};
use crate::version_log::{Book, Command, Outcome, Ticket};
use crate::voter::{Keeper, Write};
use asterrill::Us;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

const STEPS: usize = 16 * 1024; // bytes of steps in an answer
const PART: usize = 16 * 1024; // bytes of a whole version in an answer
const MOST: usize = 64 << 20; // bytes of a whole version
const WISHES: usize = 256; // that wait at a time
const WITHIN: Us = 5_000_000; // a wish is settled by then, or given up
const PROPOSED: usize = 4_096; // wishes that are remembered while they are being settled
const AGAIN: Us = 200_000; // a wish is told again
const SWEEP: Us = 1_000_000; // between looks at entries whose time is over
const OUT: usize = 16_384; // datagrams that wait to be sent

/// How a node agrees with the others. Microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Names of the keepers, the same everywhere.
    pub keepers: Vec<String>,
    pub lease: Us,
    /// Between two askings for a lease.
    pub renew: Us,
    /// Of the keepers' clock; ten of them without a word and another leads.
    pub tick: Us,
}

impl Terms {
    /// From when on no two act on rules that contradict each other.
    pub fn stated(&self) -> Us {
        stated(self.lease, self.renew)
    }
}

/// What an operator wishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wish {
    Change { base: Option<u64>, changes: Vec<Change> },
    Undo { base: Option<u64>, to: u64 },
}

/// What came of a wish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    Done {
        number: u64,
        hash: u64,
    },
    Refused(String),
    /// No majority of the keepers was heard in time. It may still come to pass.
    NoMajority,
}

#[derive(Serialize, Deserialize)]
enum Message {
    Raft(Vec<u8>),
    /// A holder asks for its lease, and says what it has.
    Ask {
        start: u64,
        round: u64,
        has: u64,
        hash: u64,
    },
    /// It is granted; what is in force, what is newest, and their hashes.
    Lease {
        round: u64,
        active: u64,
        newest: u64,
        hash: u64,
    },
    /// Not here; perhaps there.
    Elsewhere {
        leader: Option<String>,
    },
    /// Of versions after this one; or the part of this whole version from there on.
    Fetch {
        number: u64,
        hash: u64,
        whole: Option<(u64, u64)>,
    },
    Steps {
        after: u64,
        steps: Vec<Step>,
        hash: u64,
    },
    Part {
        number: u64,
        hash: u64,
        from: u64,
        of: u64,
        bytes: Vec<u8>,
    },
    /// Of a keeper to the others: it has nothing; to whoever leads: it has less than it had.
    Empty,
    Behind,
    Wish {
        ticket: Ticket,
        wish: Wish,
    },
    Told {
        ticket: Ticket,
        outcome: Outcome,
    },
}

struct Open {
    wish: Wish,
    until: Us,
    again: Us,
}

/// A whole version that is coming in parts.
struct Coming {
    number: u64,
    hash: u64,
    bytes: Vec<u8>,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub odd: u64,
    pub renewed: u64,
    pub lapsed: u64,
    pub differs: u64,
    pub fetched: u64,
    /// Outgoing messages that were dropped, as too many waited.
    pub dropped: u64,
}

/// See the package's page.
pub struct Agree {
    now: Us,
    own: String,
    start: u64,
    terms: Terms,
    keeper: Option<Keeper>,
    /// Of one that is no keeper, what it has learned.
    book: Book,
    office: Option<Office>,
    term: u64,
    held: Held,
    acting: u64,
    gate: Gate,
    fresh: bool,
    /// Which keeper is asked next, and whether the last one that was asked has answered.
    towards: usize,
    answered: bool,
    /// Versions after the one in force that contradict it in nothing: looked at from the first of these up to the other.
    free: (u64, u64),
    /// The version that was proposed to come into force last, and when.
    activating: (u64, Us),
    ask: Us,
    sweep: Us,
    coming: Option<Coming>,
    wishes: BTreeMap<Ticket, Open>,
    /// What this one has proposed as leader, and when: the same wish is not proposed again at once.
    proposed: BTreeMap<Ticket, Us>,
    wished: u64,
    settled: VecDeque<(u64, Settled)>,
    pieces: Pieces,
    message: u32,
    out: VecDeque<(String, Vec<u8>)>,
    pub counts: Counts,
}

impl Agree {
    /// `disk`: the bytes of a keeper's file, empty for none; `kept`: the image of one that is no keeper. Hands back how
    /// many bytes of the file are whole.
    ///
    /// # Errors
    /// What `raft` says of a file that makes no sense to it.
    pub fn new(
        now: Us, own: &str, start: u64, terms: Terms, disk: &[u8], kept: &[u8],
    ) -> Result<(Agree, usize), raft::Error> {
        let place = terms.keepers.iter().position(|name| name == own);
        let (keeper, whole) = match place {
            Some(at) => {
                let (keeper, whole) = Keeper::new(now, at as u64 + 1, terms.keepers.len(), terms.tick, disk)?;
                (Some(keeper), whole)
            }
            None => (None, 0),
        };
        let book = Book::read(kept).unwrap_or_default();
        let towards = start as usize % terms.keepers.len().max(1);
        let mut agree = Agree {
            now,
            own: own.into(),
            start,
            terms,
            keeper,
            book,
            office: None,
            term: 0,
            held: Held::default(),
            acting: 0,
            gate: Gate::safe(State::default()),
            fresh: true,
            towards,
            answered: true,
            free: (0, 0),
            activating: (0, 0),
            ask: now,
            sweep: now,
            coming: None,
            wishes: BTreeMap::new(),
            proposed: BTreeMap::new(),
            wished: 0,
            settled: VecDeque::new(),
            pieces: Pieces::default(),
            message: 0,
            out: VecDeque::new(),
            counts: Counts::default(),
        };
        agree.look();
        Ok((agree, whole))
    }

    pub fn book(&self) -> &Book {
        self.keeper.as_ref().map_or(&self.book, |keeper| &keeper.book)
    }
    pub fn terms(&self) -> &Terms {
        &self.terms
    }
    /// What is acted on, and until when: from then on it is [`Gate::lapsed`].
    pub fn gate(&self) -> (&Gate, Us) {
        (&self.gate, self.held.until())
    }
    /// The gate, if it is another than when this was asked last.
    pub fn take_gate(&mut self) -> Option<(Gate, Us)> {
        std::mem::take(&mut self.fresh).then(|| (self.gate.clone(), self.held.until()))
    }
    pub fn take_out(&mut self) -> Vec<(String, Vec<u8>)> {
        self.out.drain(..).collect()
    }
    /// What is to be put on disk, in this order.
    pub fn take_writes(&mut self) -> Vec<Write> {
        self.keeper.as_mut().map(|keeper| std::mem::take(&mut keeper.writes)).unwrap_or_default()
    }
    /// What is to be kept by one that is no keeper.
    pub fn image(&self) -> Option<Vec<u8>> {
        self.keeper.is_none().then(|| self.book.image())
    }
    /// Wishes that are settled, by the numbers that they were given.
    pub fn take_settled(&mut self) -> Vec<(u64, Settled)> {
        self.settled.drain(..).collect()
    }
    /// The keeper that leads, as far as is known; and whether it is this one.
    pub fn leader(&self) -> Option<&str> {
        let id = self.keeper.as_ref().and_then(Keeper::leader)?;
        self.terms.keepers.get(id as usize - 1).map(String::as_str)
    }
    pub fn leads(&self) -> bool {
        self.office.is_some()
    }
    pub fn is_keeper(&self) -> bool {
        self.keeper.is_some()
    }
    /// Holders with a lease, and those of them that have the newest version; only whoever leads knows.
    pub fn holders(&self) -> Option<(usize, usize)> {
        self.office.as_ref().map(|office| office.count(self.now, self.book().number()))
    }

    /// When `tick` is wanted next.
    pub fn next(&self) -> Us {
        let keeper = self.keeper.as_ref().map_or(Us::MAX, Keeper::next);
        let lapse = Some(self.held.until()).filter(|until| *until > self.now).unwrap_or(Us::MAX);
        let wish = self.wishes.values().map(|open| open.again.min(open.until)).min().unwrap_or(Us::MAX);
        keeper.min(lapse).min(wish).min(self.ask).max(self.now)
    }

    /// Time has passed; `wall` is the Unix clock, for entries with an end.
    pub fn tick(&mut self, now: Us, wall: Us) {
        self.now = self.now.max(now);
        if let Some(keeper) = &mut self.keeper {
            keeper.tick(self.now);
        }
        self.attend();
        if self.now >= self.ask {
            self.ask = self.now + self.terms.renew;
            self.renew();
        }
        if self.office.is_some() && self.now >= self.sweep {
            self.sweep = self.now + SWEEP;
            let over = self.book().newest().over(wall, crate::state::CHANGES);
            if !over.is_empty() {
                let wish = Wish::Change { base: Some(self.book().number()), changes: over };
                self.wish(wish);
            }
        }
        self.repeat();
        self.look();
    }

    /// A message of another member, as it came in one datagram.
    pub fn datagram(&mut self, now: Us, from: &str, payload: &[u8]) {
        self.now = self.now.max(now);
        let Some(bytes) = self.pieces.take(from, payload) else { return };
        match postcard::from_bytes(&bytes) {
            Ok(message) => self.take(from, message),
            Err(_) => self.counts.odd += 1,
        }
        self.attend();
        self.look();
    }
    /// What was to be written up to this number stands on disk.
    pub fn persisted(&mut self, now: Us, number: u64) {
        self.now = self.now.max(now);
        if let Some(keeper) = &mut self.keeper {
            keeper.persisted(number);
        }
        self.attend();
        self.look();
    }

    /// An operator wishes something here. The number by which it will be settled.
    pub fn wish(&mut self, wish: Wish) -> u64 {
        self.wished += 1;
        let ticket = Ticket { by: self.own.clone(), start: self.start, number: self.wished };
        if self.wishes.len() >= WISHES {
            let why = Settled::Refused("too many wishes wait here".into());
            self.settled.push_back((self.wished, why));
            return self.wished;
        }
        let (until, again) = (self.now + WITHIN, self.now);
        self.wishes.insert(ticket, Open { wish, until, again });
        self.repeat();
        self.look();
        self.wished
    }

    /// Tells wishes that wait, again.
    fn repeat(&mut self) {
        let now = self.now;
        let late: Vec<Ticket> =
            self.wishes.iter().filter(|(_, open)| open.until <= now).map(|(t, _)| t.clone()).collect();
        for ticket in late {
            self.wishes.remove(&ticket);
            self.settled.push_back((ticket.number, Settled::NoMajority));
        }
        let due: Vec<(Ticket, Wish)> = self
            .wishes
            .iter_mut()
            .filter(|(_, open)| open.again <= now)
            .map(|(ticket, open)| {
                open.again = now + AGAIN;
                (ticket.clone(), open.wish.clone())
            })
            .collect();
        for (ticket, wish) in due {
            let to = self.towards();
            self.send(&to, &Message::Wish { ticket, wish });
        }
    }

    /// The keeper to turn to.
    fn towards(&self) -> String {
        match self.leader() {
            Some(leader) => leader.into(),
            None => self.terms.keepers.get(self.towards).cloned().unwrap_or_default(),
        }
    }
    fn elsewhere(&mut self) {
        self.towards = (self.towards + 1) % self.terms.keepers.len().max(1);
    }

    /// Asks for the lease.
    fn renew(&mut self) {
        // Nobody answered the last round: perhaps another keeper does.
        if !std::mem::take(&mut self.answered) {
            self.elsewhere();
        }
        let newest = self.book().newest();
        let round = self.held.ask(self.now);
        if self.keeper.as_ref().is_some_and(Keeper::is_empty) {
            for other in self.terms.keepers.clone() {
                self.send(&other, &Message::Empty);
            }
        }
        let to = self.towards();
        let (start, has, hash) = (self.start, newest.number, newest.hash());
        self.send(&to, &Message::Ask { start, round, has, hash });
    }

    fn send(&mut self, to: &str, message: &Message) {
        if to == self.own {
            // To itself, by the same way as to others.
            if let Ok(bytes) = postcard::to_stdvec(message) {
                if let Ok(message) = postcard::from_bytes(&bytes) {
                    self.take(to, message);
                }
            }
            return;
        }
        self.message = self.message.wrapping_add(1);
        let pieces = postcard::to_stdvec(message).ok().and_then(|bytes| split(self.message, &bytes));
        let Some(pieces) = pieces.filter(|pieces| self.out.len() + pieces.len() <= OUT) else {
            self.counts.dropped += 1;
            return;
        };
        self.counts.sent += pieces.len() as u64;
        self.out.extend(pieces.into_iter().map(|piece| (to.to_string(), piece)));
    }

    fn take(&mut self, from: &str, message: Message) {
        match message {
            Message::Raft(bytes) => {
                let place = self.terms.keepers.iter().position(|name| name == from);
                let fine = match (&mut self.keeper, place) {
                    (Some(keeper), Some(at)) => keeper.message(at as u64 + 1, &bytes),
                    _ => false,
                };
                self.counts.odd += u64::from(!fine);
            }
            Message::Empty | Message::Behind => {
                let place = self.terms.keepers.iter().position(|name| name == from);
                if let (Some(keeper), Some(at)) = (&mut self.keeper, place) {
                    match message {
                        Message::Empty => keeper.other_is_empty(at as u64 + 1),
                        _ => keeper.other_is_behind(at as u64 + 1),
                    }
                }
            }
            Message::Ask { start, round, has, hash } => self.asked(from, start, round, has, hash),
            Message::Lease { round, active, newest, hash } => self.granted(from, round, active, newest, hash),
            Message::Elsewhere { leader } => {
                self.answered = true;
                let at = leader.and_then(|leader| self.terms.keepers.iter().position(|name| *name == leader));
                match at {
                    Some(at) if at != self.towards => {
                        // At once, so that no lease ends over a change of leaders.
                        (self.towards, self.ask) = (at, self.ask.min(self.now + self.terms.renew / 8));
                    }
                    _ => self.elsewhere(),
                }
            }
            Message::Fetch { number, hash, whole } => self.fetched(from, number, hash, whole),
            Message::Steps { after, steps, hash } => {
                if self.keeper.is_none() && after == self.book.number() && self.book.follow(steps, hash) {
                    self.counts.fetched += 1;
                    self.ask = self.ask.min(self.now); // it has more now, and says so
                }
            }
            Message::Part { number, hash, from: at, of, bytes } => {
                self.part(from, number, hash, at, of, &bytes)
            }
            Message::Wish { ticket, wish } => self.wished(from, ticket, wish),
            Message::Told { ticket, outcome } => self.told(&ticket, outcome),
        }
    }

    fn wished(&mut self, from: &str, ticket: Ticket, wish: Wish) {
        if let Some(outcome) = self.book().outcome(&ticket).cloned() {
            return self.send(from, &Message::Told { ticket, outcome });
        }
        let (now, led) = (self.now, self.office.is_some());
        self.proposed.retain(|_, at| *at + SWEEP > now && led);
        if self.proposed.contains_key(&ticket) {
            return;
        }
        if led && self.proposed.len() < PROPOSED {
            self.proposed.insert(ticket.clone(), now);
        }
        let by = ticket.by.clone();
        let command = match wish {
            Wish::Change { base, changes } => Command::Step { ticket, step: Step { base, by, changes } },
            Wish::Undo { base, to } => Command::Undo { ticket, base, to },
        };
        // What is proposed again, as its first time has not settled yet, has one outcome all the same.
        if !(led && self.keeper.as_mut().is_some_and(|keeper| keeper.propose(&command))) {
            let leader = self.leader().map(str::to_string);
            self.send(from, &Message::Elsewhere { leader });
        }
    }
    fn told(&mut self, ticket: &Ticket, outcome: Outcome) {
        if self.wishes.remove(ticket).is_some() {
            let settled = match outcome {
                Outcome::Done { number, hash } => Settled::Done { number, hash },
                Outcome::Refused(why) => Settled::Refused(why.to_string()),
            };
            self.settled.push_back((ticket.number, settled));
        }
    }

    /// A holder asks for its lease.
    fn asked(&mut self, from: &str, start: u64, round: u64, has: u64, hash: u64) {
        let same = self.book().version(has).is_none_or(|state| state.hash() == hash);
        let Some(office) = &mut self.office else {
            let leader = self.leader().map(str::to_string);
            return self.send(from, &Message::Elsewhere { leader });
        };
        // One with another history has nothing of this one's, whatever its number.
        let has = if same { has } else { 0 };
        office.asks(Asked { by: from.into(), start, round }, has);
    }

    /// A lease is granted.
    fn granted(&mut self, from: &str, round: u64, active: u64, newest: u64, hash: u64) {
        self.answered = true;
        let known = self.book().version(newest);
        let differs = match &known {
            Some(state) => state.hash() != hash,
            None => self.book().number() > newest,
        };
        if differs && self.keeper.is_none() {
            // A copied disk, or one that is older than what was undone since: none of it is believed any more.
            self.counts.differs += 1;
            self.book = Book::default();
            self.coming = None;
        }
        if self.keeper.is_none() {
            self.book.activate(active);
        }
        // Only who has the version in force may act under the lease.
        if !differs && self.book().version(active).is_some() && self.held.granted(round, self.terms.lease) {
            self.acting = active;
            self.counts.renewed += 1;
        }
        if self.keeper.is_none() && self.book.number() < newest {
            let own = self.book.newest();
            let whole = self.coming.as_ref().filter(|c| c.number == newest && c.hash == hash);
            let whole = whole.map(|coming| (newest, coming.bytes.len() as u64));
            self.send(from, &Message::Fetch { number: own.number, hash: own.hash(), whole });
        }
    }

    /// Somebody wants to know what it lacks.
    fn fetched(&mut self, from: &str, number: u64, hash: u64, whole: Option<(u64, u64)>) {
        let steps = self.book().steps_after(number, hash, STEPS).filter(|_| whole.is_none());
        if let Some(steps) = steps {
            let last = self.book().version(number + steps.len() as u64);
            let hash = last.map_or(0, |state| state.hash());
            return self.send(from, &Message::Steps { after: number, steps, hash });
        }
        let (number, at) = whole.unwrap_or((self.book().number(), 0));
        let Some(state) = self.book().version(number).filter(|state| !state.is_empty()) else { return };
        let Ok(bytes) = postcard::to_stdvec(&state.whole()) else { return };
        let Some(rest) = bytes.get(at as usize..) else { return };
        let part = rest.get(..PART.min(rest.len())).unwrap_or(&[]).to_vec();
        let (hash, of) = (state.hash(), bytes.len() as u64);
        self.send(from, &Message::Part { number, hash, from: at, of, bytes: part });
    }

    fn part(&mut self, from: &str, number: u64, hash: u64, at: u64, of: u64, bytes: &[u8]) {
        if self.keeper.is_some() || number <= self.book.number() || of as usize > MOST || bytes.is_empty() {
            return;
        }
        let fresh = || Coming { number, hash, bytes: Vec::new() };
        let coming = self.coming.take().filter(|c| c.number == number && c.hash == hash);
        let mut coming = coming.unwrap_or_else(fresh);
        if coming.bytes.len() as u64 != at {
            self.coming = Some(coming);
            return;
        }
        coming.bytes.extend_from_slice(bytes);
        if (coming.bytes.len() as u64) < of {
            let whole = Some((number, coming.bytes.len() as u64));
            self.coming = Some(coming);
            let own = self.book.newest();
            return self.send(from, &Message::Fetch { number: own.number, hash: own.hash(), whole });
        }
        // Checked against its hash before anything of it is believed.
        let state = postcard::from_bytes::<Whole>(&coming.bytes).ok().and_then(|w| State::believe(w, hash));
        match state {
            Some(state) => {
                self.book.believe(state);
                self.counts.fetched += 1;
                self.ask = self.ask.min(self.now);
            }
            None => self.counts.odd += 1,
        }
    }

    /// What the keeper has done, and what whoever leads has to do.
    fn attend(&mut self) {
        let Some(keeper) = &mut self.keeper else { return };
        let (led, term, behind) = (keeper.leads(), keeper.term(), keeper.behind.take());
        if !led {
            self.office = None;
        } else if self.office.is_none() || self.term != term {
            self.office = Some(Office::new(self.now, self.terms.lease, term));
        }
        self.term = term;
        let (out, passed, told) = (
            std::mem::take(&mut keeper.out),
            std::mem::take(&mut keeper.passed),
            std::mem::take(&mut keeper.told),
        );
        for (to, bytes) in out {
            if let Some(name) = self.terms.keepers.get(to as usize - 1).cloned() {
                self.send(&name, &Message::Raft(bytes));
            }
        }
        if let Some(leader) = behind.and_then(|id| self.terms.keepers.get(id as usize - 1).cloned()) {
            self.send(&leader, &Message::Behind);
        }
        for (ticket, outcome) in told {
            if ticket.by == self.own {
                self.told(&ticket, outcome);
            } else if led {
                let to = ticket.by.clone();
                self.send(&to, &Message::Told { ticket, outcome });
            }
        }
        let newest = self.book().newest();
        let active = self.book().active();
        for number in passed {
            let Some(office) = &mut self.office else { break };
            for asked in office.passed(self.now, number, self.terms.lease) {
                let (newest, hash) = (newest.number, newest.hash());
                self.send(&asked.by, &Message::Lease { round: asked.round, active, newest, hash });
            }
        }
        let barrier = self.office.as_mut().and_then(Office::barrier);
        if let (Some(barrier), Some(keeper)) = (barrier, &mut self.keeper) {
            keeper.barrier(barrier);
        }
        self.come_into_force(active, &newest);
        // What that has brought about goes out with the next turn at the latest.
        let out = self.keeper.as_mut().map(|keeper| std::mem::take(&mut keeper.out)).unwrap_or_default();
        for (to, bytes) in out {
            if let Some(name) = self.terms.keepers.get(to as usize - 1).cloned() {
                self.send(&name, &Message::Raft(bytes));
            }
        }
    }

    /// The newest version comes into force: at once if it contradicts nothing, else once all have it or had to stop.
    fn come_into_force(&mut self, active: u64, newest: &State) {
        let (Some(office), Some(before)) = (&self.office, self.book().version(active)) else { return };
        if newest.number <= active {
            return;
        }
        let all = office.all_have(self.now, newest.number);
        // Version by version: the last one up to which nothing contradicts may come at once. Each is looked at once.
        let (mut from, mut free) = self.free;
        if from != active {
            (from, free) = (active, active);
        }
        while free < newest.number && !self.book().hinders(&before, free + 1) {
            free += 1;
        }
        self.free = (from, free);
        let next = if all { Some(newest.number) } else { Some(free).filter(|free| *free > active) };
        // Once for each version, and again only if it has not settled for long.
        let next = next.filter(|next| *next > self.activating.0 || self.activating.1 + SWEEP <= self.now);
        if let (Some(next), Some(keeper)) = (next, &mut self.keeper) {
            self.activating = (next, self.now);
            keeper.propose(&Command::Activate(next));
        }
    }

    /// What is acted on now.
    fn look(&mut self) {
        let newest = self.book().newest();
        let acting = self.book().version(self.acting).filter(|_| self.held.until() > self.now);
        let gate = match acting {
            Some(acting) if acting.number == newest.number => Gate::full(acting),
            Some(acting) => Gate::between(acting, newest),
            None => Gate::safe(newest),
        };
        let same = gate.form == self.gate.form && gate.versions() == self.gate.versions();
        let hash = |gate: &Gate| gate.acting().hash();
        if !same || hash(&gate) != hash(&self.gate) {
            self.counts.lapsed +=
                u64::from(gate.form == crate::apply_policy::Form::Safe && self.gate.form != gate.form);
            self.gate = gate;
        }
        self.fresh = true;
    }
}
