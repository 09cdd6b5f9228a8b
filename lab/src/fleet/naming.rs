//! A name service: backends report, callers see lists that are late.

use super::upstream::slot;
use crate::stubs::{HttpRequest, NO_CONTENT};
use crate::sync::lock;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const EXPIRES_AFTER: Duration = Duration::from_secs(3); // an entry without a load report is taken off the list
const LIST_EVERY: Duration = Duration::from_millis(100);
const HISTORY: usize = 100; // lists
const TENTH_MS: u128 = 100;
const REPORT_PATH: &str = "PUT /ns/hosts/";

/// The name service.
#[derive(Clone)]
pub struct Naming {
    /// Where it listens.
    pub at: SocketAddr,
    shared: Arc<Mutex<Lists>>,
    stopped: Arc<AtomicBool>,
}

/// A backend's last load report.
#[derive(Clone, Copy)]
struct Report {
    at: Instant,
    /// It takes work.
    serving: bool,
}

/// Who was listed at a moment.
struct Listing {
    at: Instant,
    names: Vec<String>,
}

#[derive(Default)]
struct Lists {
    last_reports: BTreeMap<String, Report>,
    history: VecDeque<Listing>,
    /// Reports that came, by tenths of a second since the start.
    reports: Vec<u32>,
}

impl Lists {
    fn append_listing(&mut self) {
        let now = Instant::now();
        let listed = |report: &Report| report.serving && report.at + EXPIRES_AFTER > now;
        let names = self.last_reports.iter().filter(|(_, report)| listed(report));
        let names = names.map(|(name, _)| name.clone()).collect();
        self.history.push_back(Listing { at: now, names });
        while self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    fn take_report(&mut self, name: String, serving: bool, start: Instant) {
        self.last_reports.insert(name, Report { at: Instant::now(), serving });
        let tenth = (start.elapsed().as_millis() / TENTH_MS) as usize;
        *slot(&mut self.reports, tenth) += 1;
    }
}

impl Naming {
    /// Listens on a port that the system chooses; `start` is when its account begins.
    pub fn start(start: Instant) -> std::io::Result<Naming> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let naming = Naming { at: listener.local_addr()?, shared: Arc::default(), stopped: Arc::default() };
        let (acceptor, lister) = (naming.clone(), naming.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.stopped.load(Ordering::Acquire) {
                    return;
                }
                let naming = acceptor.clone();
                thread::spawn(move || naming.serve(stream, start));
            }
        });
        thread::spawn(move || {
            while !lister.stopped.load(Ordering::Acquire) {
                lock(&lister.shared).append_listing();
                thread::sleep(LIST_EVERY);
            }
        });
        Ok(naming)
    }

    /// Ends its threads.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        drop(TcpStream::connect(self.at)); // so that the acceptor looks
    }

    /// Who was listed so long ago.
    pub fn listed(&self, ago: Duration) -> Vec<String> {
        let (then, lists) = (Instant::now() - ago, lock(&self.shared));
        let listing = lists.history.iter().rev().find(|listing| listing.at <= then);
        let listing = listing.or_else(|| lists.history.front());
        listing.map(|listing| listing.names.clone()).unwrap_or_default()
    }

    /// When the last report of this backend came, if it takes work.
    pub fn reported(&self, name: &str) -> Option<Instant> {
        let lists = lock(&self.shared);
        lists.last_reports.get(name).filter(|report| report.serving).map(|report| report.at)
    }

    /// The most reports that came in one tenth of a second from then on, in tenths since the start.
    pub fn most_reports(&self, from: usize) -> u32 {
        lock(&self.shared).reports.iter().skip(from).copied().max().unwrap_or(0)
    }

    fn serve(&self, stream: TcpStream, start: Instant) -> std::io::Result<()> {
        let (mut to, mut from) = (stream.try_clone()?, BufReader::new(stream));
        while let Some(request) = HttpRequest::read(&mut from)? {
            let path = request.start.strip_prefix(REPORT_PATH).unwrap_or("");
            let name = path.split(' ').next().unwrap_or("").to_string();
            let serving = String::from_utf8_lossy(&request.body).contains("\"yes\"");
            lock(&self.shared).take_report(name, serving, start);
            to.write_all(NO_CONTENT)?;
        }
        Ok(())
    }
}
