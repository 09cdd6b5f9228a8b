//! The state machine of one queue: what was delivered and not settled, what is to be done about it, and how far
//! the subscription is.

use crate::deadline::due;
use crate::dedup::{Ended, Identity};
use crate::prefetch::{Signs, Window};
use crate::routes::{route, Known, Unrouted};
use crate::settlement::{verdict, Tried, Verdict};
use crate::Terms;
use asterrill::{CallerId, Effect, Final, MethodId, Us};
use asterrill_protocol::amqp::{Delivery, DeliveryTag, Settle};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const BEAT: Us = 100_000; // between looks at the window
const REOPEN: (Us, Us) = (100_000, 10_000_000); // pauses before a channel or a subscription is made anew
const PUBLISHES: u32 = 3; // times that an answer is published, until it is left out
const LEAVE: Us = 500_000; // so long an answer may still take once the server leaves; then it is left out
const REPLY: usize = 4096; // bytes of an answer that are kept

/// One message in hand, as the engine's place for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkId(pub u64);

/// What the engine is to be asked.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    pub work: WorkId,
    pub method: MethodId,
    pub tenant: Option<usize>,
    pub caller: CallerId,
    pub due: Us,
    pub size_kb: f64,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    OpenChannel,
    /// The channel is to be closed, with a reply code and why.
    CloseChannel(u16, &'static str),
    /// Consume with so many deliveries out at a time.
    Consume(u16),
    Cancel,
    /// Ask the engine; the body is [`Queue::body`].
    Offer(Offer),
    /// Nobody waits for this one any more; [`Queue::withdrawn`] follows.
    Withdraw(WorkId),
    Settle(DeliveryTag, Settle),
    /// Publish the answer [`Queue::reply`]; [`Queue::published`] follows once that was possible.
    Publish(WorkId),
    Log(String),
}

/// What was delivered and settled since the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Deliveries read, and those of them that were marked as redelivered.
    pub deliveries: u64,
    pub redelivered: u64,
    /// Deliveries settled: acknowledged, rejected, and put back into the queue.
    pub acked: u64,
    pub rejected: u64,
    pub requeued: u64,
    /// Deliveries whose channel was lost before they were settled.
    pub lost: u64,
    /// Deliveries of a message that is in hand, or that has ended a short while ago.
    pub joined: u64,
    pub known: u64,
    /// Times that a message was offered again after a pushback, and after a run that was aborted.
    pub pushed_back: u64,
    pub tried_again: u64,
    /// Why deliveries were rejected: no route, a body too long, over before it was read or answered, too many
    /// runs, a run that was aborted, or redelivered while it can't be known whether it has run.
    pub unrouted: u64,
    pub too_long: u64,
    pub expired: u64,
    pub poisoned: u64,
    pub failed: u64,
    pub unknown: u64,
    /// Answers that arrived, that could not be routed, and that were left out.
    pub replies: u64,
    pub replies_unrouted: u64,
    pub replies_lost: u64,
    /// Subscriptions made; channels that the broker closed; times that it cancelled; and channels that were
    /// closed here as more came than was asked for.
    pub subscribed: u64,
    pub channels_closed: u64,
    pub cancelled: u64,
    pub overrun: u64,
}

/// How far the subscription is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    /// There is no connection.
    Down,
    /// The channel is to be opened then.
    Closed(Us),
    Opening,
    /// Open; nothing is consumed before then.
    Open(Us),
    Asked(u16),
    Consuming(u16),
    Cancelling,
}

/// Where a message stands.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// Offered again then.
    Waiting(Us),
    /// With the engine; whether a run was made.
    Offered { ran: bool },
    /// Ended: its answer is on its way, published under this number of the channel for answers.
    Replying { how: Settle, result: Vec<u8>, number: Option<u64>, times: u32 },
}

struct Work {
    identity: Identity,
    effect: Effect,
    offer: Offer,
    body: Vec<u8>,
    /// Of all deliveries of it that were not settled. None once its channel was lost.
    tags: Vec<DeliveryTag>,
    stage: Stage,
    runs: u32,
    pushed_back: u32,
    reply_to: Option<(String, Option<String>)>,
}

/// See the package's page.
pub struct Queue {
    terms: Terms,
    window: Window,
    line: Line,
    reopen: Us,
    next_work: u64,
    works: BTreeMap<WorkId, Work>,
    by_identity: BTreeMap<Identity, BTreeSet<WorkId>>,
    /// When messages that wait are looked at next.
    alarms: BTreeSet<(Us, WorkId)>,
    by_number: BTreeMap<u64, WorkId>,
    out: usize,
    ended: Ended,
    beat: Us,
    leaving: bool,
    chance: WyRand,
    todo: VecDeque<Do>,
    pub counts: Counts,
}

impl Queue {
    /// `number`: of this queue among those of the process, for ids that are its own.
    pub fn new(now: Us, number: u16, seed: u64, terms: Terms) -> Queue {
        Queue {
            window: Window::new(now, terms.prefetch),
            ended: Ended::new(terms.remember, terms.remembered),
            terms,
            line: Line::Down,
            reopen: REOPEN.0,
            next_work: u64::from(number) << 48,
            works: BTreeMap::new(),
            by_identity: BTreeMap::new(),
            alarms: BTreeSet::new(),
            by_number: BTreeMap::new(),
            out: 0,
            beat: now,
            leaving: false,
            chance: WyRand::new_seed(seed),
            todo: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    /// Other terms from now on; what is in hand keeps its due time, method and route. A queue that was left is
    /// consumed again.
    pub fn change(&mut self, terms: Terms) {
        self.window.bound(terms.prefetch);
        self.ended.bound(terms.remember, terms.remembered);
        (self.terms, self.leaving) = (terms, false);
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }
    /// What is to be done next.
    pub fn todo(&mut self) -> Option<Do> {
        self.todo.pop_front()
    }
    /// Deliveries that are not settled.
    pub fn out(&self) -> usize {
        self.out
    }
    /// Messages in hand.
    pub fn open(&self) -> usize {
        self.works.len()
    }
    /// Messages whose end is remembered.
    pub fn remembered(&self) -> usize {
        self.ended.len()
    }
    pub fn window(&self) -> u16 {
        self.window.get()
    }
    /// Nothing is delivered any more and all that was is settled.
    pub fn left(&self) -> bool {
        let quiet = !matches!(self.line, Line::Asked(_) | Line::Consuming(_) | Line::Cancelling);
        self.leaving && quiet && self.out == 0
    }
    /// The body of a message in hand.
    pub fn body(&self, work: WorkId) -> Option<&[u8]> {
        self.works.get(&work).map(|work| &work.body[..])
    }

    /// The connection may be used.
    pub fn up(&mut self, now: Us) {
        self.line = Line::Closed(now);
        self.reopen = REOPEN.0;
        self.step(now);
    }

    /// The connection is gone.
    pub fn down(&mut self) {
        self.line_lost(Line::Down);
        self.numbers_lost();
    }

    /// The channel for answers is gone: what was published there and not confirmed is published again.
    pub fn numbers_lost(&mut self) {
        for work in std::mem::take(&mut self.by_number).into_values() {
            if let Some(Stage::Replying { number, .. }) = self.works.get_mut(&work).map(|w| &mut w.stage) {
                *number = None;
            }
        }
    }

    /// The broker closed the channel.
    pub fn channel_closed(&mut self, now: Us, code: u16, text: &str) {
        self.counts.channels_closed += 1;
        let text: String = text.chars().take(128).collect();
        let pause = self.pause();
        self.todo.push_back(Do::Log(format!(
            "the broker closed the channel of queue {}: {code} {text}; again in {} ms",
            self.terms.queue,
            pause / 1000
        )));
        self.line_lost(Line::Closed(now + pause));
    }

    /// The channel could not be opened now.
    pub fn not_opened(&mut self, now: Us) {
        self.line = Line::Closed(now + self.pause());
    }

    /// A jittered pause that grows until deliveries come.
    fn pause(&mut self) -> Us {
        let pause = (self.reopen as f64 * (0.5 + self.chance.generate::<f64>())) as Us;
        self.reopen = (self.reopen * 2).min(REOPEN.1);
        pause
    }

    /// All deliveries of the channel come again, to whoever consumes. What was not started is withdrawn; what
    /// runs goes on, and a redelivery of it is joined to it.
    fn line_lost(&mut self, line: Line) {
        self.line = line;
        for (id, work) in &mut self.works {
            self.counts.lost += work.tags.len() as u64;
            self.out -= work.tags.len();
            work.tags.clear();
            if work.stage == (Stage::Offered { ran: false }) {
                self.todo.push_back(Do::Withdraw(*id));
            }
        }
    }

    pub fn channel_open(&mut self, now: Us) {
        if self.line == Line::Opening {
            self.line = Line::Open(now);
        }
        self.step(now);
    }
    pub fn consuming(&mut self, now: Us) {
        if let Line::Asked(window) = self.line {
            self.line = Line::Consuming(window);
            self.counts.subscribed += 1;
        }
        self.step(now);
    }
    /// Nothing is consumed any more: as was asked here, or as the broker says.
    pub fn cancelled(&mut self, now: Us, by_broker: bool) {
        let again = if by_broker { now + self.pause() } else { now };
        if by_broker {
            self.counts.cancelled += 1;
            let line = format!("the broker cancelled the consumer of queue {}", self.terms.queue);
            self.todo.push_back(Do::Log(line));
        }
        if matches!(self.line, Line::Asked(_) | Line::Consuming(_) | Line::Cancelling) {
            self.line = Line::Open(again);
        }
        self.step(now);
    }

    /// What the window is decided from has been looked at.
    pub fn look(&mut self, now: Us, credit: Option<f64>, cores: f64, room: f64) {
        if now >= self.beat {
            self.beat = now + BEAT;
            let waits = |work: &&Work| matches!(work.stage, Stage::Waiting(_)) && !work.tags.is_empty();
            let (out, waiting) = (self.out, self.works.values().filter(waits).count());
            self.window.decide(now, Signs { credit, cores, room, out, waiting });
        }
        self.step(now);
    }

    /// When `look` is wanted next.
    pub fn next(&self) -> Option<Us> {
        let alarm = self.alarms.first().map(|(at, _)| *at);
        let line = match self.line {
            Line::Closed(at) => Some(at),
            Line::Open(at) if self.window.get() > 0 && !self.leaving => Some(at),
            _ => None,
        };
        let beat = Some(self.beat).filter(|_| !self.leaving && self.line != Line::Down);
        [alarm, line, beat].into_iter().flatten().min()
    }

    /// The subscription follows the window, and what waited long enough is offered again.
    fn step(&mut self, now: Us) {
        let want = if self.leaving { 0 } else { self.window.get() };
        match self.line {
            Line::Closed(at) if at <= now && !self.leaving => {
                self.line = Line::Opening;
                self.todo.push_back(Do::OpenChannel);
            }
            Line::Open(at) if at <= now && want > 0 => {
                self.line = Line::Asked(want);
                self.todo.push_back(Do::Consume(want));
            }
            Line::Consuming(window) if window != want => {
                self.line = Line::Cancelling;
                self.todo.push_back(Do::Cancel);
            }
            _ => {}
        }
        while let Some((at, id)) = self.alarms.first().copied().filter(|(at, _)| *at <= now) {
            self.alarms.remove(&(at, id));
            self.rung(now, id);
        }
    }

    fn rung(&mut self, now: Us, id: WorkId) {
        let Some(work) = self.works.get(&id) else { return };
        let (over, due) = (now >= work.offer.due, work.offer.due);
        match &work.stage {
            Stage::Waiting(_) if over => {
                self.counts.expired += work.tags.len() as u64;
                self.settle(now, id, Settle::Reject);
            }
            // Nobody would hear: it waits for its redelivery, until it is due.
            Stage::Waiting(_) if work.tags.is_empty() => drop(self.alarms.insert((due, id))),
            Stage::Waiting(_) => self.offer(id),
            Stage::Replying { .. } if over => {
                self.counts.replies_lost += 1;
                self.replied(now, id);
            }
            Stage::Replying { number: None, .. } => {
                self.todo.push_back(Do::Publish(id));
                self.alarms.insert((due.min(now + BEAT), id));
            }
            Stage::Replying { .. } => drop(self.alarms.insert((due.min(now + BEAT), id))),
            Stage::Offered { .. } => {}
        }
    }

    fn offer(&mut self, id: WorkId) {
        let Some(work) = self.works.get_mut(&id) else { return };
        if let Stage::Waiting(at) = work.stage {
            self.alarms.remove(&(at, id));
        }
        work.stage = Stage::Offered { ran: false };
        self.todo.push_back(Do::Offer(work.offer.clone()));
    }

    /// A message was delivered. Its route is by the methods and tenants that are in force now.
    pub fn delivered(&mut self, now: Us, delivery: Delivery, known: &dyn Known) {
        self.counts.deliveries += 1;
        self.counts.redelivered += u64::from(delivery.redelivered);
        self.reopen = REOPEN.0;
        let tag = delivery.tag;
        if self.leaving {
            self.counts.requeued += 1;
            return self.todo.push_back(Do::Settle(tag, Settle::Requeue));
        }
        if delivery.body.is_none() {
            self.counts.too_long += 1;
            return self.turn_away(tag);
        }
        let by = (&self.terms.method, &self.terms.tenant, &self.terms.caller);
        let to = match route(&delivery.headers, &self.terms.queue, by, known) {
            Ok(to) => to,
            Err(why) => return self.unrouted(tag, &why),
        };
        let identity = Identity::of(&delivery);
        if self.joins(now, identity, &delivery, to.effect) {
            return;
        }
        // A queue that counts tells how often it was delivered; else a redelivery was delivered once at least.
        let before = delivery.headers.delivery_count.unwrap_or(u64::from(delivery.redelivered));
        let before = before.min(u32::MAX.into()) as u32;
        if before > 0 && to.effect == Effect::NonIdempotent && !self.terms.trusting {
            self.counts.unknown += 1;
            return self.turn_away(tag);
        }
        if before >= self.terms.attempts {
            self.counts.poisoned += 1;
            return self.turn_away(tag);
        }
        let Some(due) = due(now, &delivery.headers, self.terms.bound) else {
            self.counts.expired += 1;
            return self.turn_away(tag);
        };
        if self.works.len() >= self.terms.table() {
            self.counts.overrun += 1;
            let pause = self.pause();
            self.line_lost(Line::Closed(now + pause));
            return self.todo.push_back(Do::CloseChannel(406, "more deliveries than the prefetch allows"));
        }
        self.next_work += 1;
        let work = WorkId(self.next_work);
        let (method, tenant, caller) = (to.method, to.tenant, to.caller);
        let offer = Offer { work, method, tenant, caller, due, size_kb: self.terms.size_kb };
        let Delivery { headers, body, .. } = delivery;
        let entry = Work {
            identity,
            effect: to.effect,
            offer: offer.clone(),
            body: body.unwrap_or_default(),
            tags: vec![tag],
            stage: Stage::Offered { ran: false },
            runs: before,
            pushed_back: 0,
            reply_to: headers.reply_to.map(|to| (to, headers.correlation_id)),
        };
        self.out += 1;
        self.works.insert(work, entry);
        self.by_identity.entry(identity).or_default().insert(work);
        self.todo.push_back(Do::Offer(offer));
    }

    /// Whether a delivery is of a message that is in hand or has ended: then it is settled with that. One that is
    /// only alike must be marked as redelivered, and is joined to one whose own delivery was lost.
    fn joins(&mut self, now: Us, identity: Identity, delivery: &Delivery, effect: Effect) -> bool {
        let named = matches!(identity, Identity::Named(_));
        if !delivery.redelivered && (!named || effect == Effect::Idempotent) {
            return false;
        }
        let all = self.by_identity.get(&identity).into_iter().flatten();
        let mut fitting = all.filter(|id| named || self.works.get(id).is_some_and(|w| w.tags.is_empty()));
        if let Some(id) = fitting.next().copied() {
            let Some(work) = self.works.get_mut(&id) else { return false };
            work.tags.push(delivery.tag);
            self.out += 1;
            self.counts.joined += 1;
            if let Stage::Waiting(at) = work.stage {
                self.alarms.insert((at.max(now), id));
                self.step(now);
            }
            return true;
        }
        let Some(how) = self.ended.find(now, identity) else { return false };
        self.counts.known += 1;
        self.count(how, 1);
        self.todo.push_back(Do::Settle(delivery.tag, how));
        true
    }

    fn unrouted(&mut self, tag: DeliveryTag, why: &Unrouted) {
        if self.counts.unrouted.is_power_of_two() || self.counts.unrouted == 0 {
            let line = format!("a delivery of queue {} goes nowhere: {why}", self.terms.queue);
            self.todo.push_back(Do::Log(line));
        }
        self.counts.unrouted += 1;
        self.turn_away(tag);
    }

    /// A delivery is rejected that was never taken in.
    fn turn_away(&mut self, tag: DeliveryTag) {
        self.counts.rejected += 1;
        self.todo.push_back(Do::Settle(tag, Settle::Reject));
    }

    fn count(&mut self, how: Settle, deliveries: usize) {
        let count = match how {
            Settle::Ack => &mut self.counts.acked,
            Settle::Reject => &mut self.counts.rejected,
            Settle::Requeue => &mut self.counts.requeued,
        };
        *count += deliveries as u64;
    }

    /// A run was made for a message.
    pub fn launched(&mut self, id: WorkId) {
        if let Some(work) = self.works.get_mut(&id) {
            work.stage = Stage::Offered { ran: true };
            work.runs = work.runs.saturating_add(1);
        }
    }

    /// Nobody waits for it at the engine any more; none of it ran. It waits for its redelivery.
    pub fn withdrawn(&mut self, now: Us, id: WorkId) {
        let Some(work) = self.works.get_mut(&id) else { return };
        if work.stage == (Stage::Offered { ran: false }) {
            work.stage = Stage::Waiting(now);
            self.alarms.insert((now, id));
        }
    }

    /// The engine gave its final answer.
    pub fn answered(&mut self, now: Us, id: WorkId, answer: Final<'_>) {
        let Some(work) = self.works.get_mut(&id) else { return };
        let Stage::Offered { ran } = work.stage else { return };
        let (due, effect) = (work.offer.due, work.effect);
        let tried = Tried { effect, due, runs: work.runs, pushed_back: work.pushed_back, ran };
        let (attempts, pause) = (self.terms.attempts, self.terms.pause);
        match verdict(now, &answer, tried, attempts, pause, self.leaving) {
            Verdict::Again(wait) => {
                work.pushed_back = if ran { 0 } else { work.pushed_back.saturating_add(1) };
                self.counts.pushed_back += u64::from(!ran);
                self.counts.tried_again += u64::from(ran);
                let at = now + wait;
                work.stage = Stage::Waiting(at);
                self.alarms.insert((at, id));
            }
            Verdict::Settle(how) => {
                let deliveries = work.tags.len() as u64;
                match (how, ran) {
                    (Settle::Reject, true) if effect == Effect::Idempotent && tried.runs >= attempts => {
                        self.counts.poisoned += deliveries
                    }
                    (Settle::Reject, true) => self.counts.failed += deliveries,
                    (Settle::Reject, false) => self.counts.expired += deliveries,
                    _ => {}
                }
                let result = match answer {
                    Final::Ok(result) => &result[..result.len().min(REPLY)],
                    _ => &[],
                };
                if work.reply_to.is_some() && how != Settle::Requeue {
                    let result = result.to_vec();
                    work.stage = Stage::Replying { how, result, number: None, times: 0 };
                    if self.leaving {
                        work.offer.due = due.min(now + LEAVE);
                    }
                    self.todo.push_back(Do::Publish(id));
                    self.alarms.insert((work.offer.due.min(now + BEAT), id));
                } else {
                    self.settle(now, id, how);
                }
            }
        }
    }

    /// The answer of a message: where it goes, under which correlation, how it ended and its result.
    pub fn reply(&self, id: WorkId) -> Option<(&str, Option<&str>, bool, &[u8])> {
        let work = self.works.get(&id)?;
        let (to, correlation) = work.reply_to.as_ref()?;
        match &work.stage {
            Stage::Replying { how, result, number: None, .. } => {
                Some((to, correlation.as_deref(), *how == Settle::Ack, result))
            }
            _ => None,
        }
    }

    /// The answer went out under this number.
    pub fn published(&mut self, id: WorkId, as_number: u64) {
        if let Some(Stage::Replying { number, times, .. }) = self.works.get_mut(&id).map(|w| &mut w.stage) {
            *number = Some(as_number);
            *times += 1;
            self.by_number.insert(as_number, id);
        }
    }

    /// The broker tells of answers published: all up to a number, or that one.
    pub fn confirmed(&mut self, now: Us, number: u64, multiple: bool, arrived: bool) {
        let first = if multiple { 0 } else { number };
        let numbers: Vec<u64> = self.by_number.range(first..=number).map(|(number, _)| *number).collect();
        for number in numbers {
            let Some(id) = self.by_number.remove(&number) else { continue };
            let Some(work) = self.works.get_mut(&id) else { continue };
            let Stage::Replying { number: published, times, .. } = &mut work.stage else { continue };
            *published = None;
            if !arrived && *times < PUBLISHES {
                continue; // published again when it is looked at next
            }
            self.counts.replies += u64::from(arrived);
            self.counts.replies_lost += u64::from(!arrived);
            self.replied(now, id);
        }
    }

    /// The broker sent an answer back: there is no such queue. Its confirm follows.
    pub fn returned(&mut self, id: WorkId) {
        if self.works.contains_key(&id) {
            self.counts.replies_unrouted += 1;
        }
    }

    /// The answer has arrived, or is left out: what was delivered is settled.
    fn replied(&mut self, now: Us, id: WorkId) {
        let how = match self.works.get(&id).map(|work| &work.stage) {
            Some(Stage::Replying { how, .. }) => *how,
            _ => return,
        };
        self.settle(now, id, how);
    }

    /// The one place where a message leaves: its deliveries are settled, and what became of it is remembered
    /// unless it goes back.
    fn settle(&mut self, now: Us, id: WorkId, how: Settle) {
        let Some(work) = self.works.remove(&id) else { return };
        match work.stage {
            Stage::Waiting(at) => {
                self.alarms.remove(&(at, id));
            }
            Stage::Replying { number: Some(number), .. } => drop(self.by_number.remove(&number)),
            _ => {}
        }
        self.alarms.remove(&(work.offer.due, id));
        if let Some(all) = self.by_identity.get_mut(&work.identity) {
            all.remove(&id);
            if all.is_empty() {
                self.by_identity.remove(&work.identity);
            }
        }
        self.out -= work.tags.len();
        self.count(how, work.tags.len());
        // What is alike is remembered for deliveries that may come again only: once for each.
        let again = matches!(work.identity, Identity::Named(_)) || !work.tags.is_empty() || work.runs > 0;
        if how != Settle::Requeue && again {
            self.ended.keep(now, work.identity, how);
        }
        self.todo.extend(work.tags.into_iter().map(|tag| Do::Settle(tag, how)));
    }

    /// The notice to leave: nothing more is delivered. What waits goes back; what the engine has is settled as it
    /// ends.
    pub fn leave(&mut self, now: Us) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        let waits = |work: &Work| matches!(work.stage, Stage::Waiting(_));
        let waiting: Vec<WorkId> = self.works.iter().filter(|(_, w)| waits(w)).map(|(id, _)| *id).collect();
        for id in waiting {
            self.settle(now, id, Settle::Requeue);
        }
        // Its run took effect: better acknowledged without an answer than run once more elsewhere.
        for work in self.works.values_mut().filter(|work| matches!(work.stage, Stage::Replying { .. })) {
            work.offer.due = work.offer.due.min(now + LEAVE);
        }
        self.step(now);
    }
}
