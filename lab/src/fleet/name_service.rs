//! Stub of the name service: backends send load reports, and callers see the list of backends with a delay.

use super::upstream::element_mut;
use crate::stubs::{HttpRequest, NO_CONTENT};
use crate::sync::lock;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after the last load report at which a backend is removed from the list.
const REPORT_TTL: Duration = Duration::from_secs(3);
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(100);
const MAX_SNAPSHOTS: usize = 100;
const BUCKET_MS: u128 = 100;
const REPORT_PATH: &str = "PUT /ns/hosts/";

/// The name service; clones share its state.
#[derive(Clone)]
pub struct NameService {
    /// Address at which the name service listens.
    pub address: SocketAddr,
    shared: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

/// The last load report of a backend.
#[derive(Clone, Copy)]
struct LoadReport {
    at: Instant,
    /// Whether the backend accepts RPCs.
    serving: bool,
}

/// The list of backends at a point in time.
struct ListSnapshot {
    at: Instant,
    names: Vec<String>,
}

#[derive(Default)]
struct State {
    last_reports: BTreeMap<String, LoadReport>,
    snapshots: VecDeque<ListSnapshot>,
    /// Number of received reports, by 100 ms buckets since the start.
    reports: Vec<u32>,
}

impl State {
    fn append_snapshot(&mut self) {
        let now = Instant::now();
        let listed = |report: &LoadReport| report.serving && report.at + REPORT_TTL > now;
        let names = self.last_reports.iter().filter(|(_, report)| listed(report));
        let names = names.map(|(name, _)| name.clone()).collect();
        self.snapshots.push_back(ListSnapshot { at: now, names });
        while self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    fn record_report(&mut self, name: String, serving: bool, start: Instant) {
        self.last_reports.insert(name, LoadReport { at: Instant::now(), serving });
        let bucket = (start.elapsed().as_millis() / BUCKET_MS) as usize;
        *element_mut(&mut self.reports, bucket) += 1;
    }
}

impl NameService {
    /// Starts a name service on a port that the system chooses; `start` is the time at which its statistics begin.
    pub fn start(start: Instant) -> std::io::Result<NameService> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let name_service =
            NameService { address: listener.local_addr()?, shared: Arc::default(), stopped: Arc::default() };
        let (acceptor, snapshot_writer) = (name_service.clone(), name_service.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.stopped.load(Ordering::Acquire) {
                    return;
                }
                let name_service = acceptor.clone();
                thread::spawn(move || name_service.serve(stream, start));
            }
        });
        thread::spawn(move || {
            while !snapshot_writer.stopped.load(Ordering::Acquire) {
                lock(&snapshot_writer.shared).append_snapshot();
                thread::sleep(SNAPSHOT_INTERVAL);
            }
        });
        Ok(name_service)
    }

    /// Stops its threads.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        // The connection wakes the acceptor, which then sees the stop flag.
        drop(TcpStream::connect(self.address));
    }

    /// Returns the names of the backends that were listed this long ago, or in the oldest snapshot that is kept.
    pub fn listed_backends(&self, ago: Duration) -> Vec<String> {
        let (then, lists) = (Instant::now() - ago, lock(&self.shared));
        let snapshot = lists.snapshots.iter().rev().find(|snapshot| snapshot.at <= then);
        let snapshot = snapshot.or_else(|| lists.snapshots.front());
        snapshot.map(|snapshot| snapshot.names.clone()).unwrap_or_default()
    }

    /// Returns the time of the last report of a backend, if that report states that the backend accepts RPCs.
    pub fn last_serving_report(&self, name: &str) -> Option<Instant> {
        let lists = lock(&self.shared);
        lists.last_reports.get(name).filter(|report| report.serving).map(|report| report.at)
    }

    /// Returns the largest number of reports in one bucket, from this bucket on.
    pub fn peak_reports(&self, first_bucket: usize) -> u32 {
        lock(&self.shared).reports.iter().skip(first_bucket).copied().max().unwrap_or(0)
    }

    fn serve(&self, stream: TcpStream, start: Instant) -> std::io::Result<()> {
        let (mut to, mut from) = (stream.try_clone()?, BufReader::new(stream));
        while let Some(request) = HttpRequest::read(&mut from)? {
            let path = request.start.strip_prefix(REPORT_PATH).unwrap_or("");
            let name = path.split(' ').next().unwrap_or("").to_string();
            let serving = String::from_utf8_lossy(&request.body).contains("\"yes\"");
            lock(&self.shared).record_report(name, serving, start);
            to.write_all(NO_CONTENT)?;
        }
        Ok(())
    }
}
