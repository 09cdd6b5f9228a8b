//! The drivers on loopback sockets, against peers that read slowly, close at once or say nothing. All tests share the one
//! worker.

use asterrill_net::*;
use may::net::TcpStream;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream as StdStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, Once, PoisonError};
use std::time::{Duration, Instant};

/// How long a test waits for what must happen.
const WAIT: Duration = Duration::from_secs(10);

/// Starts the worker, once in the process.
fn worker() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| start_worker().unwrap());
}

/// Lets one test at a time use the worker: several here occupy it on purpose, and others have windows of time.
fn exclusive() -> MutexGuard<'static, ()> {
    static WORKER: Mutex<()> = Mutex::new(());
    WORKER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers each byte with so many of the same.
struct Echo {
    outbox: Outbox,
    repeat: usize,
    events: Sender<&'static str>,
}

impl ConnectionHandler for Echo {
    fn on_data(&mut self, bytes: &[u8]) -> bool {
        bytes.iter().all(|byte| self.outbox.put(&[&vec![*byte; self.repeat]]))
    }
    fn on_half_closed(&mut self) {
        self.events.send("half closed").unwrap_or_default();
        self.outbox.finish();
    }
}

/// Accepts connections and runs each in its coroutine; reports how each ended.
fn echo(
    pool: &BufferPool, max_pending: usize, repeat: usize, max_connections: usize,
) -> (SocketAddr, Receiver<&'static str>) {
    worker();
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let at = listener.local_addr().unwrap();
    let (events, received) = channel();
    let limit_events = events.clone();
    let (pool, log) = (pool.clone(), slog::Logger::root(slog::Discard, slog::o!()));
    let on_connection = move |stream: TcpStream, permit| {
        let (pool, events) = (pool.clone(), events.clone());
        spawn("echo", move || {
            let out = Outbox::new(&pool, max_pending);
            let end = run_connection(
                &stream,
                &out,
                &pool,
                &mut Echo { outbox: out.clone(), repeat, events: events.clone() },
            );
            drop((stream, permit));
            events.send(if end == ConnectionEnd::Closed { "closed" } else { "broken" }).unwrap_or_default();
        })
        .unwrap();
    };
    let on_limit = move || limit_events.send("crowded").unwrap_or_default();
    spawn("listen", move || {
        listen(
            listener,
            &ListenerHandle::default(),
            ConnectionLimit::new(max_connections),
            log,
            on_limit,
            on_connection,
        )
    })
    .unwrap();
    (at, received)
}

#[test]
fn a_slow_reader_is_closed_at_its_limit_and_delays_nobody() {
    let _worker = exclusive();
    let pool = BufferPool::new(64);
    let (at, received) = echo(&pool, 20 * BUFFER_BYTES, 4 * BUFFER_BYTES, 8);
    let mut slow = StdStream::connect(at).unwrap();
    let mut other = StdStream::connect(at).unwrap();
    let until = Instant::now() + WAIT;
    // What the system takes in for it is bounded too, so it comes to its end.
    while received.try_recv() != Ok("closed") {
        assert!(Instant::now() < until && pool.usage().in_use <= 64);
        slow.write_all(b"x").unwrap_or_default();
        other.write_all(b"y").unwrap();
        let mut back = vec![0; 4 * BUFFER_BYTES];
        other.set_read_timeout(Some(WAIT)).unwrap();
        other.read_exact(&mut back).unwrap();
        assert!(back.iter().all(|byte| *byte == b'y'));
    }
    drop((slow, other));
    while pool.usage().in_use > 0 {
        assert!(Instant::now() < until, "buffers were not returned");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_slow_peer_leaves_buffers_to_others() {
    let _worker = exclusive();
    let pool = BufferPool::new(16);
    let [slow, other] = [(); 2].map(|()| Outbox::new(&pool, 100 * BUFFER_BYTES));
    assert!((0..20).any(|_| !slow.put(&[&[0; BUFFER_BYTES]])));
    assert!(other.put(&[b"an answer"]));
}

#[test]
fn peers_that_send_as_fast_as_they_are_read_delay_nobody() {
    let _worker = exclusive();
    let (at, _heard) = echo(&BufferPool::new(64), BUFFER_BYTES, 0, 8);
    let stop = Arc::new(AtomicBool::new(false));
    let flood = |stop: Arc<AtomicBool>| {
        let mut stream = StdStream::connect(at).unwrap();
        move || while !stop.load(Ordering::Relaxed) && stream.write_all(&[0; 1 << 18]).is_ok() {}
    };
    let floods = [(); 3].map(|()| std::thread::spawn(flood(stop.clone())));
    let mut slowest = Duration::ZERO;
    for _ in 0..5 {
        let start = Instant::now();
        let mut other = StdStream::connect(at).unwrap();
        other.write_all(b"y").unwrap();
        other.shutdown(std::net::Shutdown::Write).unwrap();
        other.set_read_timeout(Some(WAIT)).unwrap();
        other.read_to_end(&mut Vec::new()).unwrap(); // closed once all of it was taken
        slowest = slowest.max(start.elapsed());
    }
    stop.store(true, Ordering::Relaxed);
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
}

#[test]
fn a_half_closed_connection_gets_its_answers() {
    let _worker = exclusive();
    let (at, received) = echo(&BufferPool::new(64), 20 * BUFFER_BYTES, 3 * BUFFER_BYTES, 8);
    let mut stream = StdStream::connect(at).unwrap();
    stream.write_all(b"ab").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut back = Vec::new();
    stream.read_to_end(&mut back).unwrap();
    assert_eq!((back.len(), back[0], back[6 * BUFFER_BYTES - 1]), (6 * BUFFER_BYTES, b'a', b'b'));
    assert_eq!(received.recv_timeout(WAIT), Ok("half closed"));
    assert_eq!(received.recv_timeout(WAIT), Ok("closed"));
}

#[test]
fn at_the_limit_the_next_connection_waits_until_one_ends() {
    let _worker = exclusive();
    let (at, received) = echo(&BufferPool::new(8), BUFFER_BYTES, 1, 1);
    let first = StdStream::connect(at).unwrap();
    let mut second = StdStream::connect(at).unwrap();
    second.write_all(b"z").unwrap();
    second.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(second.read(&mut [0]).is_err());
    // The callback that may close an idle connection is called again and again: the first may be busy now and idle later.
    assert!((0..3).all(|_| received.recv_timeout(WAIT) == Ok("crowded")));
    drop(first);
    assert!(std::iter::from_fn(|| received.recv_timeout(WAIT).ok()).any(|event| event == "half closed"));
    second.set_read_timeout(Some(WAIT)).unwrap();
    assert_eq!(second.read(&mut [0]).unwrap(), 1);
}

/// Reports what becomes of a link.
struct Observer {
    outbox: Outbox,
    events: Sender<&'static str>,
}

impl ConnectionHandler for Observer {
    fn on_data(&mut self, _: &[u8]) -> bool {
        true
    }
    fn on_half_closed(&mut self) {
        self.outbox.close_now();
    }
}

impl LinkHandler for Observer {
    fn before_connect(&mut self) {}
    fn on_connected(&mut self) {
        self.events.send("up").unwrap_or_default();
    }
    fn on_disconnected(&mut self, refused: bool) -> bool {
        self.events.send(if refused { "refused" } else { "down" }).unwrap_or_default();
        false
    }
}

fn link(to: SocketAddr, eager: bool) -> (Outbox, Receiver<&'static str>) {
    worker();
    let pool = BufferPool::new(8);
    let out = Outbox::new(&pool, BUFFER_BYTES);
    let ((events, received), link_outbox) = (channel(), out.clone());
    let backoff = Backoff::new(Duration::from_millis(10), Duration::from_millis(80), 5);
    spawn("link", move || {
        run_link(
            &Address::new(to),
            &out,
            &pool,
            eager,
            backoff,
            &mut Observer { outbox: out.clone(), events },
        )
    })
    .unwrap();
    (link_outbox, received)
}

#[test]
fn a_link_that_is_closed_at_once_reconnects_with_backoff() {
    let _worker = exclusive();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || listener.incoming().for_each(drop));
    let (_out, received) = link(at, true);
    let start = Instant::now();
    let ups = std::iter::from_fn(|| received.recv_timeout(WAIT).ok())
        .filter(|event| *event == "up")
        .take(8)
        .count();
    // Seven pauses of 10, 20, 40 and then 80 ms, each at least halved by chance.
    assert!(ups == 8 && start.elapsed() >= Duration::from_millis(195), "{:?}", start.elapsed());
}

#[test]
fn a_lazy_link_connects_when_something_waits_and_reports_a_refusal() {
    let _worker = exclusive();
    let at = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (out, received) = link(at, false);
    assert!(received.recv_timeout(Duration::from_millis(50)).is_err());
    assert!(out.put(&[b"call"]));
    assert_eq!(received.recv_timeout(WAIT), Ok("refused"));
    assert!(out.is_empty());
    let listener = TcpListener::bind(at).unwrap();
    out.put(&[b"again"]);
    let mut came = [0; 5];
    listener.accept().unwrap().0.read_exact(&mut came).unwrap();
    assert_eq!((&came, received.recv_timeout(WAIT)), (b"again", Ok("up")));
}

#[test]
fn a_link_that_was_finished_connects_again_however_often() {
    let _worker = exclusive();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (out, received) = link(listener.local_addr().unwrap(), false);
    for _ in 0..3 {
        assert!(out.put(&[b"call"]), "refused though nothing is wrong");
        assert_eq!(received.recv_timeout(WAIT), Ok("up"));
        listener.accept().unwrap().0.read_exact(&mut [0; 4]).unwrap();
        out.finish_if_connected();
        assert_eq!(received.recv_timeout(WAIT), Ok("down"));
        out.finish_if_connected(); // there is no connection any more
    }
}

#[test]
fn coroutines_that_end_right_after_a_wait_do_not_block_the_worker() {
    let _worker = exclusive();
    worker();
    let (events, received) = channel();
    for n in 0..5_000 {
        let events = events.clone();
        spawn("ends", move || {
            wait_until(now() + n % 30);
            events.send(()).unwrap();
        })
        .unwrap();
    }
    assert_eq!((0..5_000).filter(|_| received.recv_timeout(WAIT).is_ok()).count(), 5_000);
}

#[test]
fn short_waits_end_in_time_and_a_notification_ends_a_long_one() {
    let _worker = exclusive();
    // Waits of under a millisecond never ended with the timers of `may`.
    worker();
    let (events, received) = channel();
    let notify = Arc::new(Notify::default());
    let (waits, waiter) = (events.clone(), notify.clone());
    spawn("waits", move || {
        for span in (50..3_000).step_by(50) {
            let at = now() + span;
            wait_until(at);
            waits.send((now() >= at, span)).unwrap();
        }
    })
    .unwrap();
    for _ in (50..3_000).step_by(50) {
        let (in_time, span) = received.recv_timeout(WAIT).unwrap();
        assert!(in_time, "woken before its {span} us were over");
    }
    spawn("notified", move || {
        waiter.register();
        events.send((true, 0)).unwrap();
        wait_until(now() + 3_600_000_000);
        events.send((true, 1)).unwrap();
    })
    .unwrap();
    assert_eq!(received.recv_timeout(WAIT), Ok((true, 0)));
    notify.notify();
    assert_eq!(received.recv_timeout(WAIT), Ok((true, 1)));
}

#[test]
fn reduced_limit_accepts_nobody_until_enough_have_ended_and_a_raised_one_does_at_once() {
    let _worker = exclusive();
    worker();
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let at = listener.local_addr().unwrap();
    let (events, received) = channel();
    let limit = ConnectionLimit::new(2);
    let (pool, log, shared_limit) =
        (BufferPool::new(8), slog::Logger::root(slog::Discard, slog::o!()), limit.clone());
    let on_connection = move |stream: TcpStream, permit| {
        let (pool, events) = (pool.clone(), events.clone());
        spawn("echo", move || {
            let out = Outbox::new(&pool, BUFFER_BYTES);
            run_connection(&stream, &out, &pool, &mut Echo { outbox: out.clone(), repeat: 1, events });
            drop((stream, permit));
        })
        .unwrap();
    };
    spawn("listen", move || {
        listen(listener, &ListenerHandle::default(), shared_limit, log, || {}, on_connection)
    })
    .unwrap();
    let served = |stream: &mut StdStream| {
        stream.set_read_timeout(Some(Duration::from_millis(150))).unwrap();
        stream.read(&mut [0]).is_ok_and(|n| n == 1)
    };
    let connect = || {
        let mut stream = StdStream::connect(at).unwrap();
        stream.write_all(b"z").unwrap();
        stream
    };
    let [mut first, mut second] = [(); 2].map(|()| connect());
    assert!(served(&mut first) && served(&mut second));
    limit.adjust(-1);
    let mut third = connect();
    drop(first);
    assert!(!served(&mut third), "one of two connections has ended: the limit is reached");
    limit.adjust(1);
    assert!(served(&mut third));
    drop((second, received));
}
