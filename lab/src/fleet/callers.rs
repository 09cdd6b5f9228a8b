//! Stand-in sidecars of a fleet: each sends RPCs by chance, chooses among the backends that a late list names, and
//! tries again elsewhere without a mark. A share of them is deaf: it heeds neither `pause` nor credit.

use super::shared_services::Naming;
use crate::load::{frame, request, unix_us, Share};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const TRIES: u32 = 3; // of one RPC, where it may be tried again
const STREAMS: usize = 32; // open at a time on one connection
const SLACK: Duration = Duration::from_millis(250); // beyond a try's patience until its answer counts as missing
const TENTH: u128 = 100; // milliseconds of one slot of the ledger
const CONNECT: Duration = Duration::from_millis(300);

/// What a tenth of a second saw, by the moment at which RPCs were first asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tenth {
    pub asked: f64,
    pub in_time: f64,
    pub attempts: u32,
}

/// The callers' own account.
#[derive(Default)]
pub struct Ledger {
    pub tenths: Vec<Tenth>,
    pub rpcs: u64,
    pub ok: u64,
    pub failed: u64,
    /// Tries that were written whole, on a connection that stood, and got no answer by their patience: to whom, when sent.
    pub unanswered: Vec<(usize, Instant)>,
    pub answered_twice: u64,
    /// Answers with what no run made for them.
    pub wrong: u64,
    pub pushed_back: u64,
    /// Pushbacks by node and moment.
    pub turned_away: Vec<(usize, Instant)>,
    /// Waits that pushbacks told, in ms.
    pub pauses: Vec<u64>,
    pub connections: u64,
}

/// Where backends are, by name, and whether one is known to be gone: then no answer is owed by it.
#[derive(Clone)]
pub struct Targets {
    pub of: Arc<BTreeMap<String, (usize, SocketAddr)>>,
}

#[derive(Clone)]
pub struct Callers {
    pub ledger: Arc<Mutex<Ledger>>,
    ends: Arc<AtomicBool>,
    storm: Arc<Mutex<Option<Instant>>>,
}

/// How callers are.
#[derive(Clone)]
pub struct Habits {
    pub shares: Vec<Share>,
    /// Methods that must not be tried again once they may have run.
    pub once: Vec<&'static str>,
    pub callers: usize,
    /// RPCs a second, of all.
    pub rate: f64,
    /// Of 1, the share that heeds nothing.
    pub deaf: f64,
    pub seed: u64,
}

impl Callers {
    pub fn start(start: Instant, habits: &Habits, targets: &Targets, naming: &Naming) -> Callers {
        let callers = Callers { ledger: Arc::default(), ends: Arc::default(), storm: Arc::default() };
        let deaf = (habits.callers as f64 * habits.deaf).round() as usize;
        for n in 0..habits.callers {
            let mut caller = Caller::new(start, n, n < deaf, habits, targets, naming, &callers);
            thread::spawn(move || caller.live());
        }
        callers
    }
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(|e| e.into_inner())
    }
    /// All break off their connections within the next 50 ms and connect anew.
    pub fn reconnect(&self) {
        *self.storm.lock().unwrap_or_else(|e| e.into_inner()) = Some(Instant::now());
    }
    /// No more is asked; what is open may end.
    pub fn end(&self, wait: Duration) {
        self.ends.store(true, Ordering::Release);
        thread::sleep(wait);
    }
}

struct Rpc {
    share: Share,
    at: Instant,
    body: Vec<u8>,
    tries: u32,
    over: bool,
}

struct Line {
    to: TcpStream,
    next: u32,
    open: BTreeMap<u32, (u64, Instant)>, // the RPC, and when it was sent
    answered: u32,
    leaving: bool,
    credit: Option<f64>,
}

enum Event {
    Answer { node: usize, line: u64, stream: u32, code: u8, fields: Vec<(String, String)>, ok: Vec<u8> },
    Leaving { node: usize, line: u64 },
    Broken { node: usize, line: u64 },
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Ask,
    Try(u64),
    Due { node: usize, line: u64, stream: u32 },
    Over(u64),
    Storm,
}

struct Caller {
    number: usize,
    deaf: bool,
    start: Instant,
    habits: Habits,
    targets: Targets,
    naming: Naming,
    all: Callers,
    chance: StdRng,
    lines: BTreeMap<usize, (u64, Line)>,
    paused: BTreeMap<usize, Instant>,
    refused: BTreeMap<usize, Instant>,
    rpcs: BTreeMap<u64, Rpc>,
    wakes: BinaryHeap<Reverse<(Instant, Wake)>>,
    next: u64,
    lines_made: u64,
    stormed: Option<Instant>,
    tell: Sender<Event>,
    hear: Receiver<Event>,
}

impl Caller {
    fn new(
        start: Instant, number: usize, deaf: bool, habits: &Habits, targets: &Targets, naming: &Naming,
        all: &Callers,
    ) -> Caller {
        let (tell, hear) = channel();
        Caller {
            number,
            deaf,
            start,
            habits: habits.clone(),
            targets: targets.clone(),
            naming: naming.clone(),
            all: all.clone(),
            chance: StdRng::seed_from_u64(habits.seed * 1_000 + number as u64),
            lines: BTreeMap::new(),
            paused: BTreeMap::new(),
            refused: BTreeMap::new(),
            rpcs: BTreeMap::new(),
            wakes: BinaryHeap::new(),
            next: 0,
            lines_made: 0,
            stormed: None,
            tell,
            hear,
        }
    }

    fn note(&self, of: impl FnOnce(&mut Ledger)) {
        of(&mut self.all.ledger());
    }
    fn tenth(&self, at: Instant, of: impl FnOnce(&mut Tenth)) {
        let slot = (at.saturating_duration_since(self.start).as_millis() / TENTH) as usize;
        let mut ledger = self.all.ledger();
        let most = ledger.tenths.len().max(slot + 1);
        ledger.tenths.resize(most, Tenth::default());
        of(&mut ledger.tenths[slot]);
    }
    fn wake(&mut self, at: Instant, what: Wake) {
        self.wakes.push(Reverse((at, what)));
    }

    fn live(&mut self) {
        self.wake(Instant::now(), Wake::Ask);
        loop {
            let now = Instant::now();
            while self.wakes.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                let Some(Reverse((at, what))) = self.wakes.pop() else { break };
                self.woken(at, what);
            }
            let until = self.wakes.peek().map_or(now + Duration::from_millis(100), |Reverse((at, _))| *at);
            let wait = until.saturating_duration_since(Instant::now()).min(Duration::from_millis(100));
            match self.hear.recv_timeout(wait) {
                Ok(event) => self.heard(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.all.ends.load(Ordering::Acquire) && self.rpcs.is_empty() {
                for (_, (_, line)) in std::mem::take(&mut self.lines) {
                    line.to.shutdown(Shutdown::Both).unwrap_or_default();
                }
                return;
            }
            let storm = *self.all.storm.lock().unwrap_or_else(|e| e.into_inner());
            if storm != self.stormed {
                self.stormed = storm;
                let at = Instant::now() + Duration::from_millis(self.chance.random_range(0..50));
                self.wake(at, Wake::Storm);
            }
        }
    }

    fn woken(&mut self, at: Instant, what: Wake) {
        match what {
            Wake::Ask if self.all.ends.load(Ordering::Acquire) => {}
            Wake::Ask => {
                let gap =
                    -(1.0 - self.chance.random::<f64>()).ln() * self.habits.callers as f64 / self.habits.rate;
                self.wake(at + Duration::from_secs_f64(gap), Wake::Ask);
                self.ask(at);
            }
            Wake::Try(rpc) => self.attempt(rpc),
            Wake::Due { node, line, stream } => {
                let Some((number, open)) = self.lines.get_mut(&node) else { return };
                if *number == line {
                    let sent = open.open.remove(&stream).map(|(_, sent)| (node, sent));
                    self.note(|ledger| ledger.unanswered.extend(sent));
                }
            }
            Wake::Over(rpc) => self.over(rpc, false),
            Wake::Storm => {
                let nodes: Vec<usize> = self.lines.keys().copied().collect();
                for node in nodes {
                    if let Some((_, line)) = self.lines.get(&node) {
                        line.to.shutdown(Shutdown::Both).unwrap_or_default();
                    }
                }
            }
        }
    }

    fn ask(&mut self, at: Instant) {
        let total: u32 = self.habits.shares.iter().map(|share| share.weight).sum();
        let mut pick = self.chance.random_range(0..total);
        let fits = |share: &&Share| {
            let hit = pick < share.weight;
            pick = pick.saturating_sub(share.weight);
            hit
        };
        let Some(share) = self.habits.shares.iter().find(fits).copied() else { return };
        self.next += 1;
        let (rpc, body) = (self.next, format!("{} {} {}", share.method, self.number, self.next).into_bytes());
        self.rpcs.insert(rpc, Rpc { share, at, body, tries: 0, over: false });
        self.tenth(at, |tenth| tenth.asked += share.criticality);
        self.note(|ledger| ledger.rpcs += 1);
        self.wake(at + share.patience, Wake::Over(rpc));
        self.attempt(rpc);
    }

    fn over(&mut self, rpc: u64, ok: bool) {
        let Some(known) = self.rpcs.remove(&rpc) else { return };
        if known.over {
            return;
        }
        self.note(|ledger| if ok { ledger.ok += 1 } else { ledger.failed += 1 });
        if ok && known.at.elapsed() <= known.share.target {
            self.tenth(known.at, |tenth| tenth.in_time += known.share.criticality);
        }
    }

    /// A connection that may carry one more RPC, to a backend that the list names.
    fn choose(&mut self) -> Option<usize> {
        let now = Instant::now();
        let late = Duration::from_millis(1_000 + (self.number as u64 * 137) % 1_000);
        let listed = self.naming.listed(late);
        let nodes: Vec<(usize, SocketAddr)> =
            listed.iter().filter_map(|name| self.targets.of.get(name).copied()).collect();
        let free = |caller: &Caller, node: &usize| {
            let paused = !caller.deaf && caller.paused.get(node).is_some_and(|until| *until > now);
            let refused = caller.refused.get(node).is_some_and(|until| *until > now);
            let room = caller.lines.get(node).is_none_or(|(_, line)| {
                let credit = line.credit.filter(|_| !caller.deaf).unwrap_or(STREAMS as f64);
                line.open.len() < STREAMS && (line.open.len() as f64) < credit.max(0.0).ceil()
            });
            !paused && !refused && room
        };
        // Of two by chance the one with less open here.
        let able: Vec<(usize, SocketAddr)> = nodes.into_iter().filter(|(node, _)| free(self, node)).collect();
        let picked = able.iter().copied().choose_multiple(&mut self.chance, 2);
        let open =
            |(node, _): &(usize, SocketAddr)| self.lines.get(node).map_or(0, |(_, line)| line.open.len());
        let (node, at) = picked.into_iter().min_by_key(open)?;
        if self.lines.get(&node).is_some_and(|(_, line)| line.leaving) {
            self.lines
                .remove(&node)
                .into_iter()
                .for_each(|(_, line)| drop(line.to.shutdown(Shutdown::Write)));
        }
        if !self.lines.contains_key(&node) && self.connect(node, at).is_none() {
            self.refused.insert(node, now + Duration::from_millis(self.chance.random_range(100..300)));
            return None;
        }
        Some(node)
    }

    fn connect(&mut self, node: usize, at: SocketAddr) -> Option<()> {
        let to = TcpStream::connect_timeout(&at, CONNECT).ok()?;
        to.set_nodelay(true).ok()?;
        to.set_write_timeout(Some(CONNECT)).ok()?;
        self.lines_made += 1;
        let (line, from, tell) = (self.lines_made, to.try_clone().ok()?, self.tell.clone());
        thread::spawn(move || {
            hear(from, node, line, &tell).unwrap_or_default();
            tell.send(Event::Broken { node, line }).unwrap_or_default();
        });
        let fresh = Line { to, next: 0, open: BTreeMap::new(), answered: 0, leaving: false, credit: None };
        self.lines.insert(node, (line, fresh));
        self.note(|ledger| ledger.connections += 1);
        Some(())
    }

    fn attempt(&mut self, rpc: u64) {
        let now = Instant::now();
        let Some((share, at, tries)) = self.rpcs.get(&rpc).map(|r| (r.share, r.at, r.tries)) else { return };
        let left = (at + share.patience).saturating_duration_since(now);
        if tries >= TRIES || left < Duration::from_millis(5) {
            return self.over(rpc, false);
        }
        let Some(node) = self.choose() else {
            // Nobody is to be asked just now: a little later, while there is patience.
            let later = Duration::from_millis(self.chance.random_range(20..60));
            return self.wake(now + later, Wake::Try(rpc));
        };
        let Some(known) = self.rpcs.get_mut(&rpc) else { return };
        known.tries += 1;
        let body = known.body.clone();
        let fields = [
            ("route", share.method.to_string()),
            ("trace", format!("{:016x}", self.chance.random::<u64>())),
            ("born", (unix_us() / 1000).to_string()),
            ("client", self.number.to_string()),
            ("patience", left.as_millis().to_string()),
            ("size", "4".to_string()),
        ];
        self.tenth(now, |tenth| tenth.attempts += 1);
        let Some((line, to)) = self.lines.get_mut(&node) else { return };
        to.next += 1;
        let (line, stream) = (*line, to.next);
        to.open.insert(stream, (rpc, now));
        if to.to.write_all(&request(stream, &fields, &body)).is_err() {
            to.to.shutdown(Shutdown::Both).unwrap_or_default();
        }
        self.wake(now + left + SLACK, Wake::Due { node, line, stream });
    }

    fn heard(&mut self, event: Event) {
        match event {
            Event::Leaving { node, line } => {
                if let Some((_, open)) = self.lines.get_mut(&node).filter(|(number, _)| *number == line) {
                    open.leaving = true;
                }
            }
            Event::Broken { node, line } => {
                if self.lines.get(&node).is_none_or(|(number, _)| *number != line) {
                    return;
                }
                let Some((_, open)) = self.lines.remove(&node) else { return };
                let back = Duration::from_millis(self.chance.random_range(20..100));
                self.refused.insert(node, Instant::now() + back);
                for (_, (rpc, _)) in open.open {
                    self.again(rpc, true);
                }
            }
            Event::Answer { node, line, stream, code, fields, ok } => {
                self.answered(node, line, stream, code, &fields, &ok);
            }
        }
    }

    /// A try came to nothing: another, unless it may have run and must not run twice.
    fn again(&mut self, rpc: u64, may_have_run: bool) {
        let Some(known) = self.rpcs.get(&rpc) else { return };
        if may_have_run && self.habits.once.contains(&known.share.method) {
            return self.over(rpc, false);
        }
        let jitter = Duration::from_millis(self.chance.random_range(1..10));
        self.wake(Instant::now() + jitter, Wake::Try(rpc));
    }

    fn answered(
        &mut self, node: usize, line: u64, stream: u32, code: u8, fields: &[(String, String)], body: &[u8],
    ) {
        let field = |name: &str| fields.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str());
        let Some((_, to)) = self.lines.get_mut(&node).filter(|(number, _)| *number == line) else { return };
        to.credit = field("advice").and_then(|v| v.parse().ok()).or(to.credit);
        to.answered += 1;
        let Some((rpc, _)) = to.open.remove(&stream) else {
            // One that came after its time was over is no second one, unless it was answered before.
            let known = stream <= to.next && to.answered <= to.next;
            return self.note(|ledger| ledger.answered_twice += u64::from(!known));
        };
        match code {
            0 => {
                let made = self.rpcs.get(&rpc).map(|r| [b"did ", &r.body[..]].concat());
                let wrong = made.is_some_and(|made| made != body);
                self.note(|ledger| ledger.wrong += u64::from(wrong));
                self.over(rpc, true);
            }
            11 => {
                let pause = field("pause").and_then(|v| v.parse::<u64>().ok());
                let terminal = field("terminal") == Some("1") && !self.deaf;
                let now = Instant::now();
                if let Some(ms) = pause {
                    self.paused.insert(node, now + Duration::from_millis(ms));
                }
                self.note(|ledger| {
                    ledger.pushed_back += 1;
                    ledger.turned_away.push((node, now));
                    ledger.pauses.extend(pause);
                });
                if terminal {
                    self.over(rpc, false);
                } else {
                    self.again(rpc, false);
                }
            }
            _ => self.again(rpc, true),
        }
    }
}

/// Reads frames until the connection ends.
fn hear(mut from: TcpStream, node: usize, line: u64, tell: &Sender<Event>) -> Option<()> {
    loop {
        let (kind, stream, payload) = frame(&mut from)?;
        match kind {
            6 => tell.send(Event::Leaving { node, line }).ok()?,
            2 if stream > 0 => {
                let (code, fields, ok) = parts(&payload)?;
                tell.send(Event::Answer { node, line, stream, code, fields, ok }).ok()?;
            }
            _ => {}
        }
    }
}

pub type Parts = (u8, Vec<(String, String)>, Vec<u8>);

/// An answer's code, fields and body.
pub fn parts(payload: &[u8]) -> Option<Parts> {
    let (code, count) = (*payload.first()?, *payload.get(1)?);
    let (mut rest, mut fields) = (payload.get(2..)?, Vec::new());
    for _ in 0..count {
        let size = usize::from(*rest.first()?);
        let name = String::from_utf8_lossy(rest.get(1..1 + size)?).into_owned();
        rest = rest.get(1 + size..)?;
        let size = usize::from(u16::from_be_bytes(rest.get(..2)?.try_into().ok()?));
        let value = String::from_utf8_lossy(rest.get(2..2 + size)?).into_owned();
        rest = rest.get(2 + size..)?;
        fields.push((name, value));
    }
    Some((code, fields, rest.to_vec()))
}
