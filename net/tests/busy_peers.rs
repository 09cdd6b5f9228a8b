//! Connections beside peers that send at full speed, and connections that their peers reset, on one core.

use asterrill_net::{
    bind, listen, run_connection, spawn, start_worker, BufferPool, ConnectionEnd, ConnectionHandler,
    ConnectionLimit, ListenerHandle, Outbox, BUFFER_BYTES,
};
use may::net::TcpStream;
use nix::sched::{sched_getaffinity, sched_setaffinity, CpuSet};
use nix::unistd::Pid;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream as StdStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, Once, PoisonError};
use std::time::{Duration, Instant};

/// Maximum time that a test waits for an expected event.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time from a request to its reply beside busy peers.
const MAX_REPLY_TIME: Duration = Duration::from_millis(500);
/// Byte that is replied to.
const REQUEST: u8 = b'r';
/// Byte that is not replied to.
const PADDING: u8 = 0;

/// Events of a connection.
#[derive(Debug, PartialEq, Eq)]
enum Event {
    Opened,
    Read(usize),
    Ended(ConnectionEnd),
}

/// Handler that works for a time on each read, and replies to the requests in it.
struct WorkingHandler {
    outbox: Outbox,
    work: Duration,
    reads_after_reset: bool,
    events: Sender<Event>,
}

impl ConnectionHandler for WorkingHandler {
    fn on_data(&mut self, bytes: &[u8]) -> bool {
        let start = Instant::now();
        while start.elapsed() < self.work {
            std::hint::spin_loop();
        }
        for _ in bytes.iter().filter(|byte| **byte == REQUEST) {
            self.outbox.put(&[b"!"]);
        }
        self.events.send(Event::Read(bytes.len())).unwrap_or_default();
        true
    }
    fn on_half_closed(&mut self) {
        self.outbox.finish();
    }
    fn reads_after_reset(&self) -> bool {
        self.reads_after_reset
    }
}

/// Excludes other tests for as long as the guard is kept, because all share one worker.
fn exclusive() -> MutexGuard<'static, ()> {
    static WORKER: Mutex<()> = Mutex::new(());
    WORKER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Restricts the calling thread, and all threads that it starts, to the first core that it may use.
fn use_one_core() {
    let this_thread = Pid::from_raw(0);
    let allowed = sched_getaffinity(this_thread).unwrap();
    let first = (0..CpuSet::count()).find(|core| allowed.is_set(*core).unwrap()).unwrap();
    let mut one = CpuSet::new();
    one.set(first).unwrap();
    sched_setaffinity(this_thread, &one).unwrap();
}

/// Starts a server. Returns its address, the outboxes of its connections and their events.
fn start_server(work: Duration, reads_after_reset: bool) -> (SocketAddr, Receiver<Outbox>, Receiver<Event>) {
    static WORKER: Once = Once::new();
    use_one_core();
    WORKER.call_once(|| start_worker().unwrap());
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let ((outbox_sender, outboxes), (events, received)) = (channel(), channel());
    let (pool, log) = (BufferPool::new(256), slog::Logger::root(slog::Discard, slog::o!()));
    let on_connection = move |stream: TcpStream, permit| {
        let (pool, outbox_sender, events) = (pool.clone(), outbox_sender.clone(), events.clone());
        spawn("working", move || {
            let outbox = Outbox::new(&pool, 64 * BUFFER_BYTES);
            outbox_sender.send(outbox.clone()).unwrap_or_default();
            events.send(Event::Opened).unwrap_or_default();
            let mut handler =
                WorkingHandler { outbox: outbox.clone(), work, reads_after_reset, events: events.clone() };
            let end = run_connection(&stream, &outbox, &pool, &mut handler);
            drop((stream, permit));
            events.send(Event::Ended(end)).unwrap_or_default();
        })
        .unwrap();
    };
    let handle = ListenerHandle::default();
    spawn("listen", move || listen(listener, &handle, ConnectionLimit::new(64), log, || {}, on_connection))
        .unwrap();
    (address, outboxes, received)
}

/// Sends a request and returns the time until its reply.
fn reply_time(stream: &mut StdStream) -> Duration {
    let start = Instant::now();
    stream.write_all(&[REQUEST]).unwrap();
    stream.read_exact(&mut [0]).unwrap();
    start.elapsed()
}

/// Guards against a worker that is kept from polling its sockets: with several peers that send at full speed, some
/// coroutine is always ready, and requests of others were read seconds later or never.
#[test]
fn peers_that_keep_the_worker_busy_do_not_delay_others() {
    let _worker = exclusive();
    let (address, _outboxes, _events) = start_server(Duration::from_micros(300), true);
    let mut steady = StdStream::connect(address).unwrap();
    steady.set_read_timeout(Some(TIMEOUT)).unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let flood = |stop: Arc<AtomicBool>| {
        let mut stream = StdStream::connect(address).unwrap();
        move || while !stop.load(Ordering::Relaxed) && stream.write_all(&[PADDING; 1 << 16]).is_ok() {}
    };
    let floods = [(); 16].map(|()| std::thread::spawn(flood(stop.clone())));
    let reply_times: Vec<Duration> = (0..20)
        .map(|_| {
            std::thread::sleep(Duration::from_millis(20));
            reply_time(&mut steady)
        })
        .collect();
    stop.store(true, Ordering::Relaxed);
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    assert!(reply_times.iter().all(|time| *time < MAX_REPLY_TIME), "{reply_times:?}");
}

/// Guards against new connections that keep the worker busy, so that requests on open ones were read late.
#[test]
fn peers_that_open_connections_at_full_speed_do_not_delay_others() {
    const CONNECTIONS: usize = 120;
    let _worker = exclusive();
    let (address, _outboxes, events) = start_server(Duration::from_millis(20), true);
    let mut steady = StdStream::connect(address).unwrap();
    steady.set_read_timeout(Some(TIMEOUT)).unwrap();
    let flood = std::thread::spawn(move || {
        for _ in 0..CONNECTIONS {
            StdStream::connect(address).unwrap().write_all(&[REQUEST]).unwrap();
        }
    });
    let reply_times: Vec<Duration> = (0..8).map(|_| reply_time(&mut steady)).collect();
    flood.join().unwrap();
    for _ in 0..CONNECTIONS {
        while !matches!(events.recv_timeout(TIMEOUT).unwrap(), Event::Ended(_)) {}
    }
    assert!(reply_times.iter().all(|time| *time < MAX_REPLY_TIME), "{reply_times:?}");
}

/// Blocks the worker until the returned sender is dropped, so that everything that happens meanwhile is seen at once.
fn block_worker() -> Sender<()> {
    let ((release, released), (blocked_sender, blocked)) = (channel::<()>(), channel());
    spawn("block", move || {
        blocked_sender.send(()).unwrap();
        // `recv` of the standard library blocks the whole worker thread, not just this coroutine.
        released.recv().unwrap_or_default();
    })
    .unwrap();
    blocked.recv_timeout(TIMEOUT).unwrap();
    release
}

/// Sends requests and closes the connection before they are read and while a reply is unread, which resets it. Returns what
/// the server saw then.
fn events_after_a_reset(reads_after_reset: bool) -> Vec<Event> {
    let _worker = exclusive();
    let (address, outboxes, events) = start_server(Duration::ZERO, reads_after_reset);
    let mut stream = StdStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(events.recv_timeout(TIMEOUT), Ok(Event::Opened));
    outboxes.recv_timeout(TIMEOUT).unwrap().put(&[b"unread"]);
    assert_eq!(stream.peek(&mut [0]).unwrap(), 1);
    let release = block_worker();
    stream.write_all(&[REQUEST; 2 * BUFFER_BYTES]).unwrap();
    drop(stream);
    drop(release);
    let mut seen = Vec::new();
    while !seen.last().is_some_and(|event| matches!(event, Event::Ended(_))) {
        seen.push(events.recv_timeout(TIMEOUT).unwrap());
    }
    seen
}

/// Guards against requests that are run although their sender has closed its connection without waiting for the answers.
#[test]
fn requests_that_arrived_before_a_reset_are_discarded() {
    assert_eq!(events_after_a_reset(false), [Event::Ended(ConnectionEnd::Broken)]);
}

/// Guards against the loss of notices and replies that a peer sent before its connection was reset.
#[test]
fn other_data_that_arrived_before_a_reset_is_read() {
    let events = events_after_a_reset(true);
    let is_read = |event: &Event| matches!(event, Event::Read(_));
    assert_eq!(events.iter().filter(|event| is_read(event)).count(), 2, "{events:?}");
    assert_eq!(events.last(), Some(&Event::Ended(ConnectionEnd::Broken)));
}
