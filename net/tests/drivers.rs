//! The drivers on loopback sockets, with peers that read slowly, close at once or stay silent. All tests share the single
//! worker.

use asterrill_net::*;
use may::net::TcpStream;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream as StdStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, Once, PoisonError};
use std::time::{Duration, Instant};

/// Maximum time that a test waits for an expected event.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the worker, once per process.
fn ensure_worker() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| start_worker().unwrap());
}

/// Locks the worker for one test at a time, since some tests occupy it on purpose and others measure time.
fn exclusive() -> MutexGuard<'static, ()> {
    static WORKER: Mutex<()> = Mutex::new(());
    WORKER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A handler that replies to each byte with `repeat` copies of it.
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

/// Starts a server with an [`Echo`] handler per connection. Returns its address and the events of its connections.
fn start_echo_server(
    pool: &BufferPool, max_pending: usize, repeat: usize, max_connections: usize,
) -> (SocketAddr, Receiver<&'static str>) {
    ensure_worker();
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (events, received) = channel();
    let limit_events = events.clone();
    let (pool, log) = (pool.clone(), slog::Logger::root(slog::Discard, slog::o!()));
    let on_connection = move |stream: TcpStream, permit| {
        let (pool, events) = (pool.clone(), events.clone());
        spawn("echo", move || {
            let outbox = Outbox::new(&pool, max_pending);
            let end = run_connection(
                &stream,
                &outbox,
                &pool,
                &mut Echo { outbox: outbox.clone(), repeat, events: events.clone() },
            );
            drop((stream, permit));
            events.send(if end == ConnectionEnd::Closed { "closed" } else { "broken" }).unwrap_or_default();
        })
        .unwrap();
    };
    let on_limit = move || limit_events.send("limit reached").unwrap_or_default();
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
    (address, received)
}

#[test]
fn a_slow_reader_is_closed_at_its_limit_and_does_not_delay_others() {
    let _worker = exclusive();
    let pool = BufferPool::new(64);
    let (address, received) = start_echo_server(&pool, 20 * BUFFER_BYTES, 4 * BUFFER_BYTES, 8);
    let mut slow = StdStream::connect(address).unwrap();
    let mut other = StdStream::connect(address).unwrap();
    let until = Instant::now() + TIMEOUT;
    // The socket buffers are bounded too, so the slow connection reaches its limit and is closed.
    while received.try_recv() != Ok("closed") {
        assert!(Instant::now() < until && pool.usage().in_use <= 64);
        slow.write_all(b"x").unwrap_or_default();
        other.write_all(b"y").unwrap();
        let mut reply = vec![0; 4 * BUFFER_BYTES];
        other.set_read_timeout(Some(TIMEOUT)).unwrap();
        other.read_exact(&mut reply).unwrap();
        assert!(reply.iter().all(|byte| *byte == b'y'));
    }
    drop((slow, other));
    while pool.usage().in_use > 0 {
        assert!(Instant::now() < until, "buffers were not returned");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn the_outbox_of_a_slow_peer_leaves_buffers_to_others() {
    let _worker = exclusive();
    let pool = BufferPool::new(16);
    let [slow, other] = [(); 2].map(|()| Outbox::new(&pool, 100 * BUFFER_BYTES));
    assert!((0..20).any(|_| !slow.put(&[&[0; BUFFER_BYTES]])));
    assert!(other.put(&[b"a reply"]));
}

#[test]
fn peers_that_send_as_fast_as_they_are_read_do_not_delay_others() {
    let _worker = exclusive();
    let (address, _events) = start_echo_server(&BufferPool::new(64), BUFFER_BYTES, 0, 8);
    let stop = Arc::new(AtomicBool::new(false));
    let flood = |stop: Arc<AtomicBool>| {
        let mut stream = StdStream::connect(address).unwrap();
        move || while !stop.load(Ordering::Relaxed) && stream.write_all(&[0; 1 << 18]).is_ok() {}
    };
    let floods = [(); 3].map(|()| std::thread::spawn(flood(stop.clone())));
    let mut slowest = Duration::ZERO;
    for _ in 0..5 {
        let start = Instant::now();
        let mut other = StdStream::connect(address).unwrap();
        other.write_all(b"y").unwrap();
        other.shutdown(std::net::Shutdown::Write).unwrap();
        other.set_read_timeout(Some(TIMEOUT)).unwrap();
        // The server closes the connection once it has handled all data.
        other.read_to_end(&mut Vec::new()).unwrap();
        slowest = slowest.max(start.elapsed());
    }
    stop.store(true, Ordering::Relaxed);
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
}

#[test]
fn a_half_closed_connection_gets_its_replies() {
    let _worker = exclusive();
    let (address, received) = start_echo_server(&BufferPool::new(64), 20 * BUFFER_BYTES, 3 * BUFFER_BYTES, 8);
    let mut stream = StdStream::connect(address).unwrap();
    stream.write_all(b"ab").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).unwrap();
    assert_eq!((reply.len(), reply[0], reply[6 * BUFFER_BYTES - 1]), (6 * BUFFER_BYTES, b'a', b'b'));
    assert_eq!(received.recv_timeout(TIMEOUT), Ok("half closed"));
    assert_eq!(received.recv_timeout(TIMEOUT), Ok("closed"));
}

#[test]
fn at_the_limit_the_next_connection_waits_until_one_ends() {
    let _worker = exclusive();
    let (address, received) = start_echo_server(&BufferPool::new(8), BUFFER_BYTES, 1, 1);
    let first = StdStream::connect(address).unwrap();
    let mut second = StdStream::connect(address).unwrap();
    second.write_all(b"z").unwrap();
    second.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(second.read(&mut [0]).is_err());
    // The callback that may close an idle connection is called repeatedly, since the first connection may become idle later.
    assert!((0..3).all(|_| received.recv_timeout(TIMEOUT) == Ok("limit reached")));
    drop(first);
    assert!(std::iter::from_fn(|| received.recv_timeout(TIMEOUT).ok()).any(|event| event == "half closed"));
    second.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(second.read(&mut [0]).unwrap(), 1);
}

/// A handler that reports the state changes of a link.
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

fn start_link(to: SocketAddr, eager: bool) -> (Outbox, Receiver<&'static str>) {
    ensure_worker();
    let pool = BufferPool::new(8);
    let outbox = Outbox::new(&pool, BUFFER_BYTES);
    let ((events, received), link_outbox) = (channel(), outbox.clone());
    let backoff = Backoff::new(Duration::from_millis(10), Duration::from_millis(80), 5);
    spawn("link", move || {
        run_link(
            &Address::new(to),
            &outbox,
            &pool,
            eager,
            backoff,
            &mut Observer { outbox: outbox.clone(), events },
        )
    })
    .unwrap();
    (link_outbox, received)
}

#[test]
fn a_link_that_is_closed_at_once_reconnects_with_backoff() {
    let _worker = exclusive();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || listener.incoming().for_each(drop));
    let (_outbox, received) = start_link(address, true);
    let start = Instant::now();
    let ups = std::iter::from_fn(|| received.recv_timeout(TIMEOUT).ok())
        .filter(|event| *event == "up")
        .take(8)
        .count();
    // Between 8 connections are 7 delays, of steps of 10, 20, 40 and then 80 ms. Jitter at most halves each.
    assert!(ups == 8 && start.elapsed() >= Duration::from_millis(195), "{:?}", start.elapsed());
}

#[test]
fn a_lazy_link_connects_when_bytes_are_queued_and_reports_a_refusal() {
    let _worker = exclusive();
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (outbox, received) = start_link(address, false);
    assert!(received.recv_timeout(Duration::from_millis(50)).is_err());
    assert!(outbox.put(&[b"call"]));
    assert_eq!(received.recv_timeout(TIMEOUT), Ok("refused"));
    assert!(outbox.is_empty());
    let listener = TcpListener::bind(address).unwrap();
    outbox.put(&[b"again"]);
    let mut bytes = [0; 5];
    listener.accept().unwrap().0.read_exact(&mut bytes).unwrap();
    assert_eq!((&bytes, received.recv_timeout(TIMEOUT)), (b"again", Ok("up")));
}

#[test]
fn a_finished_link_reconnects_repeatedly() {
    let _worker = exclusive();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (outbox, received) = start_link(listener.local_addr().unwrap(), false);
    for _ in 0..3 {
        assert!(outbox.put(&[b"call"]), "the outbox refused bytes for the next connection");
        assert_eq!(received.recv_timeout(TIMEOUT), Ok("up"));
        listener.accept().unwrap().0.read_exact(&mut [0; 4]).unwrap();
        outbox.finish_if_connected();
        assert_eq!(received.recv_timeout(TIMEOUT), Ok("down"));
        // Without a connection, the call must not affect the next one.
        outbox.finish_if_connected();
    }
}

#[test]
fn coroutines_that_end_right_after_a_wait_do_not_block_the_worker() {
    let _worker = exclusive();
    ensure_worker();
    let (events, received) = channel();
    for index in 0..5_000 {
        let events = events.clone();
        spawn("ends", move || {
            wait_until(now() + index % 30);
            events.send(()).unwrap();
        })
        .unwrap();
    }
    assert_eq!((0..5_000).filter(|_| received.recv_timeout(TIMEOUT).is_ok()).count(), 5_000);
}

#[test]
fn short_waits_last_their_full_time_and_a_notification_ends_a_long_one() {
    let _worker = exclusive();
    // With the timers of `may`, waits of less than a millisecond never end.
    ensure_worker();
    let (events, received) = channel();
    let notify = Arc::new(Notify::default());
    let (wait_events, waiter) = (events.clone(), notify.clone());
    spawn("waits", move || {
        for delay_us in (50..3_000).step_by(50) {
            let deadline = now() + delay_us;
            wait_until(deadline);
            wait_events.send((now() >= deadline, delay_us)).unwrap();
        }
    })
    .unwrap();
    for _ in (50..3_000).step_by(50) {
        let (in_time, delay_us) = received.recv_timeout(TIMEOUT).unwrap();
        assert!(in_time, "a wait of {delay_us} us ended early");
    }
    spawn("notified", move || {
        waiter.register();
        events.send((true, 0)).unwrap();
        wait_until(now() + 3_600_000_000);
        events.send((true, 1)).unwrap();
    })
    .unwrap();
    assert_eq!(received.recv_timeout(TIMEOUT), Ok((true, 0)));
    notify.notify();
    assert_eq!(received.recv_timeout(TIMEOUT), Ok((true, 1)));
}

#[test]
fn a_lowered_limit_applies_until_enough_connections_end_and_a_raised_one_applies_at_once() {
    let _worker = exclusive();
    ensure_worker();
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (events, received) = channel();
    let limit = ConnectionLimit::new(2);
    let (pool, log, shared_limit) =
        (BufferPool::new(8), slog::Logger::root(slog::Discard, slog::o!()), limit.clone());
    let on_connection = move |stream: TcpStream, permit| {
        let (pool, events) = (pool.clone(), events.clone());
        spawn("echo", move || {
            let outbox = Outbox::new(&pool, BUFFER_BYTES);
            run_connection(&stream, &outbox, &pool, &mut Echo { outbox: outbox.clone(), repeat: 1, events });
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
        let mut stream = StdStream::connect(address).unwrap();
        stream.write_all(b"z").unwrap();
        stream
    };
    let [mut first, mut second] = [(); 2].map(|()| connect());
    assert!(served(&mut first) && served(&mut second));
    limit.adjust(-1);
    let mut third = connect();
    drop(first);
    assert!(!served(&mut third), "accepted a connection above the lowered limit of one");
    limit.adjust(1);
    assert!(served(&mut third));
    drop((second, received));
}
