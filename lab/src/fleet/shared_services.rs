//! What a fleet shares: a layer below with a capacity of its own, and a name service whose lists come late.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|e| e.into_inner())
}

/// The layer below: so many calls at a time, each for so long; what waits beyond a bound is turned away.
#[derive(Clone)]
pub struct Below {
    pub at: SocketAddr,
    inner: Arc<(Mutex<Desk>, Condvar)>,
    ends: Arc<AtomicBool>,
}

struct Call {
    id: String,
    body: Vec<u8>,
    to: Arc<Mutex<TcpStream>>,
    /// Of the connection: a call whose connection is gone is given up.
    alive: Arc<AtomicBool>,
}

pub struct Desk {
    pub slots: usize,
    pub work: Duration,
    /// Of its speed, as long as it is so.
    pub speed: f64,
    waiting: VecDeque<Call>,
    due: BTreeMap<(Instant, u64), Call>,
    next: u64,
    start: Instant,
    /// Calls that came, by tenths of a second since the start.
    pub came: Vec<u32>,
    /// Calls in hand, in seconds of one, by such tenths; and up to when that is counted.
    pub held: Vec<f64>,
    counted: Instant,
    /// The tenths in which a call had to wait, or was turned away.
    full: std::collections::BTreeSet<usize>,
    pub turned_away: u64,
}

impl Desk {
    /// Calls a second that it can do at full speed.
    pub fn capacity(&self) -> f64 {
        self.slots as f64 / self.work.as_secs_f64()
    }
    /// Whether it had a slot free all through these tenths of a second since the start.
    pub fn was_free(&self, tenths: std::ops::RangeInclusive<usize>) -> bool {
        self.full.range(tenths).next().is_none()
    }
    /// Counts what was in hand since the last time.
    fn count(&mut self) {
        let (now, in_hand) = (Instant::now(), (self.waiting.len() + self.due.len()) as f64);
        while self.counted < now {
            let tenth = (self.counted - self.start).as_millis() as usize / 100;
            let edge = self.start + Duration::from_millis((tenth as u64 + 1) * 100);
            let until = edge.min(now);
            let most = self.held.len().max(tenth + 1);
            self.held.resize(most, 0.0);
            self.held[tenth] += in_hand * (until - self.counted).as_secs_f64();
            self.counted = until;
        }
    }
    /// It starts anew: nothing is known of calls before.
    pub fn empty(&mut self, speed: f64) {
        self.waiting.clear();
        self.due.clear();
        self.speed = speed;
    }
}

impl Below {
    pub fn start(start: Instant, slots: usize, work: Duration) -> std::io::Result<Below> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (waiting, due, came) = (VecDeque::new(), BTreeMap::new(), Vec::new());
        let (speed, next, full, turned_away) = (1.0, 0, Default::default(), 0);
        let (held, counted) = (Vec::new(), start);
        #[rustfmt::skip]
        let desk = Desk {
            slots, work, speed, waiting, due, next, start, came, held, counted, full, turned_away,
        };
        let (inner, ends) = (Arc::new((Mutex::new(desk), Condvar::new())), Arc::default());
        let below = Below { at: listener.local_addr()?, inner, ends };
        let (serves, works) = (below.clone(), below.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serves.ends.load(Ordering::Acquire) {
                    return;
                }
                let below = serves.clone();
                thread::spawn(move || {
                    let alive = Arc::new(AtomicBool::new(true));
                    drop(below.serve(stream, &alive));
                    alive.store(false, Ordering::Release);
                });
            }
        });
        thread::spawn(move || works.work());
        Ok(below)
    }
    pub fn desk(&self) -> MutexGuard<'_, Desk> {
        lock(&self.inner.0)
    }
    pub fn end(&self) {
        self.ends.store(true, Ordering::Release);
        self.inner.1.notify_all();
        drop(TcpStream::connect(self.at));
    }

    fn serve(&self, stream: TcpStream, alive: &Arc<AtomicBool>) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let to = Arc::new(Mutex::new(stream.try_clone()?));
        let mut from = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["OP", id, _, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    from.read_exact(&mut body)?;
                    let mut desk = self.desk();
                    desk.count();
                    let tenth = desk.start.elapsed().as_millis() as usize / 100;
                    let most = desk.came.len().max(tenth + 1);
                    desk.came.resize(most, 0);
                    desk.came[tenth] += 1;
                    if !desk.waiting.is_empty() || desk.due.len() >= desk.slots {
                        desk.full.insert(tenth);
                    }
                    if desk.waiting.len() >= 4 * desk.slots {
                        desk.turned_away += 1;
                        drop(desk);
                        lock(&to).write_all(format!("{id} WAIT\r\n").as_bytes())?;
                        continue;
                    }
                    desk.waiting.push_back(Call {
                        id: id.into(),
                        body,
                        to: to.clone(),
                        alive: alive.clone(),
                    });
                    drop(desk);
                    self.inner.1.notify_one();
                }
                ["UNOP", id] => {
                    let mut desk = self.desk();
                    desk.count();
                    desk.waiting.retain(|call| call.id != id);
                }
                _ => return Ok(()),
            }
        }
    }

    fn work(&self) {
        let mut desk = self.desk();
        while !self.ends.load(Ordering::Acquire) {
            let now = Instant::now();
            desk.count();
            let mut done = Vec::new();
            while let Some(entry) = desk.due.first_entry().filter(|entry| entry.key().0 <= now) {
                done.push(entry.remove());
            }
            while desk.due.len() < desk.slots {
                let Some(call) = desk.waiting.pop_front() else { break };
                if call.alive.load(Ordering::Acquire) {
                    desk.next += 1;
                    let key = (now + desk.work.div_f64(desk.speed), desk.next);
                    desk.due.insert(key, call);
                }
            }
            let wait = desk.due.first_key_value().map_or(Duration::from_millis(50), |((at, _), _)| {
                at.saturating_duration_since(Instant::now())
            });
            drop(desk);
            for call in done {
                let reply =
                    [format!("{} DONE {}\r\n", call.id, call.body.len() - 2).as_bytes(), &call.body].concat();
                lock(&call.to).write_all(&reply).unwrap_or_default();
            }
            desk = lock(&self.inner.0);
            if desk.due.len() < desk.slots && !desk.waiting.is_empty() {
                continue;
            }
            desk = self.inner.1.wait_timeout(desk, wait).unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

const LAPSE: Duration = Duration::from_secs(3); // an entry without a report is taken off the list after that

/// A name service: backends report, callers see lists that are late.
#[derive(Clone)]
pub struct Naming {
    pub at: SocketAddr,
    inner: Arc<Mutex<Lists>>,
    ends: Arc<AtomicBool>,
}

#[derive(Default)]
struct Lists {
    last: BTreeMap<String, (Instant, bool)>,
    /// What was listed, and when that was.
    history: VecDeque<(Instant, Vec<String>)>,
    /// Reports that came, by tenths of a second since the start.
    reports: Vec<u32>,
}

impl Naming {
    pub fn start(start: Instant) -> std::io::Result<Naming> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let naming = Naming { at: listener.local_addr()?, inner: Arc::default(), ends: Arc::default() };
        let (serves, lists) = (naming.clone(), naming.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serves.ends.load(Ordering::Acquire) {
                    return;
                }
                let naming = serves.clone();
                thread::spawn(move || naming.serve(stream, start));
            }
        });
        thread::spawn(move || {
            while !lists.ends.load(Ordering::Acquire) {
                let now = Instant::now();
                let mut inner = lock(&lists.inner);
                let on = |(at, serving): &(Instant, bool)| *serving && *at + LAPSE > now;
                let listed = inner.last.iter().filter(|(_, last)| on(last)).map(|(name, _)| name.clone());
                let listed: Vec<String> = listed.collect();
                inner.history.push_back((now, listed));
                while inner.history.len() > 100 {
                    inner.history.pop_front();
                }
                drop(inner);
                thread::sleep(Duration::from_millis(100));
            }
        });
        Ok(naming)
    }
    pub fn end(&self) {
        self.ends.store(true, Ordering::Release);
        drop(TcpStream::connect(self.at));
    }
    /// Who was listed so long ago.
    pub fn listed(&self, late: Duration) -> Vec<String> {
        let (then, inner) = (Instant::now() - late, lock(&self.inner));
        let seen = inner.history.iter().rev().find(|(at, _)| *at <= then).or_else(|| inner.history.front());
        seen.map(|(_, listed)| listed.clone()).unwrap_or_default()
    }
    /// When the last report of this backend came that takes work.
    pub fn reported(&self, name: &str) -> Option<Instant> {
        lock(&self.inner).last.get(name).filter(|(_, serving)| *serving).map(|(at, _)| *at)
    }
    /// The most reports that came in one tenth of a second from then on, in tenths since the start.
    pub fn most_reports(&self, from: usize) -> u32 {
        lock(&self.inner).reports.iter().skip(from).copied().max().unwrap_or(0)
    }

    fn serve(&self, stream: TcpStream, start: Instant) -> std::io::Result<()> {
        let (mut to, mut from) = (stream.try_clone()?, BufReader::new(stream));
        loop {
            let (mut length, mut name, mut line) = (0, String::new(), String::new());
            while from.read_line(&mut line)? > 2 {
                if let Some(rest) = line.strip_prefix("PUT /ns/hosts/") {
                    name = rest.split(' ').next().unwrap_or("").into();
                }
                let told = line.strip_prefix("Content-Length: ").and_then(|n| n.trim().parse().ok());
                length = told.unwrap_or(length);
                line.clear();
            }
            if length == 0 {
                return Ok(());
            }
            let mut body = vec![0; length];
            from.read_exact(&mut body)?;
            let serving = String::from_utf8_lossy(&body).contains("\"yes\"");
            let mut inner = lock(&self.inner);
            inner.last.insert(name, (Instant::now(), serving));
            let tenth = start.elapsed().as_millis() as usize / 100;
            let most = inner.reports.len().max(tenth + 1);
            inner.reports.resize(most, 0);
            inner.reports[tenth] += 1;
            drop(inner);
            to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
        }
    }
}
