//! Stand-in of a sidecar, and a steady load from several of them.

use crate::harness::{unix_ms, Record};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const SERVED: u8 = 0;

/// A request to be sent.
#[derive(Clone)]
pub struct Request {
    pub class: String,
    pub tenant: Option<String>,
    pub patience_ms: u64,
    pub client: u64,
    pub body: String,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    Answered(u8, Vec<u8>),
    /// The connection ended before.
    Closed,
    /// Nothing came in the time.
    Silence,
}

static TRACE: AtomicU64 = AtomicU64::new(1);

/// A connection to a backend.
pub struct Connection {
    stream: TcpStream,
    last_stream: u32,
    early: BTreeMap<u32, Fate>,
    /// The backend wants no new request on this connection.
    pub leaving: bool,
}

impl Connection {
    pub fn open(to: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect(to).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { stream, last_stream: 0, early: BTreeMap::new(), leaving: false })
    }

    /// Sends a request on a new stream, with a trace of its own.
    pub fn send(&mut self, request: &Request) -> Option<u32> {
        self.last_stream += 1;
        let trace = TRACE.fetch_add(1, Ordering::Relaxed) + (u64::from(std::process::id()) << 32);
        let mut fields = vec![
            ("route", request.class.clone()),
            ("trace", format!("{trace:016x}")),
            ("born", unix_ms().to_string()),
            ("client", request.client.to_string()),
            ("patience", request.patience_ms.to_string()),
            ("size", "24.5".into()),
            ("order", "0.6250".into()),
        ];
        fields.extend(request.tenant.clone().map(|tenant| ("customer", tenant)));
        let mut payload = vec![fields.len() as u8];
        for (name, value) in &fields {
            payload.push(name.len() as u8);
            payload.extend_from_slice(name.as_bytes());
            payload.extend_from_slice(&(value.len() as u16).to_be_bytes());
            payload.extend_from_slice(value.as_bytes());
        }
        payload.extend_from_slice(request.body.as_bytes());
        let mut frame = ((payload.len() + 5) as u32).to_be_bytes().to_vec();
        frame.push(1);
        frame.extend_from_slice(&self.last_stream.to_be_bytes());
        frame.extend_from_slice(&payload);
        self.stream.write_all(&frame).ok()?;
        Some(self.last_stream)
    }

    /// Waits for the answer on a stream.
    pub fn answer(&mut self, stream: u32, timeout: Duration) -> Fate {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(fate) = self.early.remove(&stream) {
                return fate;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Fate::Silence;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut head = [0; 9];
            match self.stream.read_exact(&mut head) {
                Ok(()) => {}
                Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                    return Fate::Silence
                }
                Err(_) => return Fate::Closed,
            }
            let length = u32::from_be_bytes(head[..4].try_into().unwrap()) as usize;
            let mut payload = vec![0; length.saturating_sub(5)];
            let _ = self.stream.set_read_timeout(Some(Duration::from_secs(5)));
            if self.stream.read_exact(&mut payload).is_err() {
                return Fate::Closed;
            }
            let on = u32::from_be_bytes(head[5..].try_into().unwrap());
            match head[4] {
                2 if on > 0 => drop(self.early.insert(on, parse(&payload))),
                6 => self.leaving = true,
                _ => {}
            }
        }
    }

    pub fn call(&mut self, request: &Request, timeout: Duration) -> Fate {
        match self.send(request) {
            Some(stream) => self.answer(stream, timeout),
            None => Fate::Closed,
        }
    }
}

/// Parses the payload of an answer: code, fields, body.
fn parse(payload: &[u8]) -> Fate {
    let (code, count) = (payload[0], payload[1]);
    let mut rest = &payload[2..];
    for _ in 0..count {
        rest = &rest[1 + rest[0] as usize..];
        let size = u16::from_be_bytes([rest[0], rest[1]]) as usize;
        rest = &rest[2 + size..];
    }
    Fate::Answered(code, rest.to_vec())
}

/// One request of a load.
#[derive(Clone)]
pub struct Sent {
    pub at: Instant,
    pub fate: Fate,
    pub good: bool,
}

/// A steady load from several sidecars, each with a few connections on which one request is open at a time.
pub struct Load {
    pub sent: Arc<Mutex<Vec<Sent>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    /// Starts `connections` connections that send a request every `every` each.
    pub fn start(to: SocketAddr, request: &Request, connections: u64, every: Duration) -> Load {
        let (sent, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let threads = (0..connections)
            .map(|n| {
                let (sent, stop) = (sent.clone(), stop.clone());
                let request = Request { client: n % 4 + 1, ..request.clone() };
                std::thread::spawn(move || run_connection(to, &request, n, every, &sent, &stop))
            })
            .collect();
        Load { sent, stop, threads }
    }

    /// Returns how many requests were sent in a span, and how many of them were served.
    pub fn served(&self, from: Instant, until: Instant) -> (usize, usize) {
        let sent = self.sent.lock().unwrap();
        let span: Vec<&Sent> = sent.iter().filter(|one| one.at >= from && one.at < until).collect();
        (span.len(), span.iter().filter(|one| one.good).count())
    }

    pub fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn run_connection(
    to: SocketAddr, request: &Request, number: u64, every: Duration, sent: &Mutex<Vec<Sent>>, stop: &AtomicBool,
) {
    let mut connection = None;
    let mut next = Instant::now() + every.mul_f64(number as f64 * 0.37 % 1.0);
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += every;
        count += 1;
        if connection.as_ref().is_none_or(|c: &Connection| c.leaving) {
            connection = Connection::open(to);
        }
        let at = Instant::now();
        let Some(open) = connection.as_mut() else {
            sent.lock().unwrap().push(Sent { at, fate: Fate::Closed, good: false });
            continue;
        };
        let request = Request { body: format!("{}-{number}-{count}", request.body), ..request.clone() };
        let fate = open.call(&request, Duration::from_millis(request.patience_ms + 300));
        let good = fate == Fate::Answered(SERVED, format!("did {}", request.body).into_bytes());
        if !matches!(fate, Fate::Answered(..)) {
            connection = None;
        }
        sent.lock().unwrap().push(Sent { at, fate, good });
    }
}

/// Writes, for each second since `start`, how many requests were sent and what became of them.
pub fn record_by_second(load: &Load, start: Instant, record: &Record) {
    let sent = load.sent.lock().unwrap();
    let last = sent.iter().map(|one| one.at.saturating_duration_since(start).as_secs()).max().unwrap_or(0);
    for second in 0..=last {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for one in sent.iter().filter(|one| one.at >= start && (one.at - start).as_secs() == second) {
            let name = match &one.fate {
                Fate::Answered(0, _) if one.good => "served".into(),
                Fate::Answered(0, _) => "served with a wrong result".into(),
                Fate::Answered(11, _) => "refused".into(),
                Fate::Answered(5, _) => "failed".into(),
                Fate::Answered(code, _) => format!("code {code}"),
                Fate::Closed => "connection ended".into(),
                Fate::Silence => "no answer".into(),
            };
            *counts.entry(name).or_default() += 1;
        }
        record.add(format!("requests sent in second {second}: {counts:?}"));
    }
}
