//! The drivers on loopback sockets, against peers that read slowly, close at once or say nothing.

use crate::*;
use may::net::TcpStream;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream as Plain};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Once};
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(10);

fn worker() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| one_worker().unwrap());
}

/// Answers each byte with so many.
struct Echo(Outbox, usize, Sender<&'static str>);

impl Peer for Echo {
    fn read(&mut self, bytes: &[u8]) -> bool {
        bytes.iter().all(|byte| self.0.put(&[&vec![*byte; self.1]]))
    }
    fn half_closed(&mut self) {
        self.2.send("half closed").unwrap_or_default();
        self.0.finish();
    }
}

/// Takes in connections with one driver each; tells how each ended.
fn echo(pool: &Pool, most: usize, times: usize, room: usize) -> (SocketAddr, Receiver<&'static str>) {
    worker();
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let at = listener.local_addr().unwrap();
    let (told, heard) = channel();
    let asked = told.clone();
    let (pool, log) = (pool.clone(), slog::Logger::root(slog::Discard, slog::o!()));
    let took = move |stream: TcpStream, place| {
        let (pool, told) = (pool.clone(), told.clone());
        spawn("echo", move || {
            let out = Outbox::new(&pool, most);
            let end = drive(&stream, &out, &pool, &mut Echo(out.clone(), times, told.clone()));
            drop((stream, place));
            told.send(if end == End::Closed { "closed" } else { "broken" }).unwrap_or_default();
        })
        .unwrap();
    };
    let crowded = move || asked.send("crowded").unwrap_or_default();
    spawn("listen", move || listen(listener, &Door::default(), Room::new(room), log, crowded, took)).unwrap();
    (at, heard)
}

#[test]
fn a_slow_reader_is_cut_off_at_its_bound_and_holds_up_nobody() {
    let pool = Pool::new(64);
    let (at, heard) = echo(&pool, 20 * SIZE, 4 * SIZE, 8);
    let mut slow = Plain::connect(at).unwrap();
    let mut other = Plain::connect(at).unwrap();
    let until = Instant::now() + WAIT;
    // What the system takes in for it is bounded too, so it comes to its end.
    while heard.try_recv() != Ok("closed") {
        assert!(Instant::now() < until && pool.used().0 <= 64);
        slow.write_all(b"x").unwrap_or_default();
        other.write_all(b"y").unwrap();
        let mut back = vec![0; 4 * SIZE];
        other.set_read_timeout(Some(WAIT)).unwrap();
        other.read_exact(&mut back).unwrap();
        assert!(back.iter().all(|byte| *byte == b'y'));
    }
    drop((slow, other));
    while pool.used().0 > 0 {
        assert!(Instant::now() < until, "buffers were not given back");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_slow_peer_leaves_buffers_to_the_others() {
    let pool = Pool::new(16);
    let [slow, other] = [(); 2].map(|()| Outbox::new(&pool, 100 * SIZE));
    assert!((0..20).any(|_| !slow.put(&[&[0; SIZE]])));
    assert!(other.put(&[b"an answer"]));
}

#[test]
fn peers_that_send_as_fast_as_they_are_read_hold_up_nobody() {
    let (at, _heard) = echo(&Pool::new(64), SIZE, 0, 8);
    let stop = Arc::new(AtomicBool::new(false));
    let flood = |stop: Arc<AtomicBool>| {
        let mut stream = Plain::connect(at).unwrap();
        move || while !stop.load(Ordering::Relaxed) && stream.write_all(&[0; 1 << 18]).is_ok() {}
    };
    let floods = [(); 3].map(|()| std::thread::spawn(flood(stop.clone())));
    let mut slowest = Duration::ZERO;
    for _ in 0..5 {
        let start = Instant::now();
        let mut other = Plain::connect(at).unwrap();
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
fn a_half_closed_connection_gets_what_it_is_owed() {
    let (at, heard) = echo(&Pool::new(64), 20 * SIZE, 3 * SIZE, 8);
    let mut stream = Plain::connect(at).unwrap();
    stream.write_all(b"ab").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut back = Vec::new();
    stream.read_to_end(&mut back).unwrap();
    assert_eq!((back.len(), back[0], back[6 * SIZE - 1]), (6 * SIZE, b'a', b'b'));
    assert_eq!(heard.recv_timeout(WAIT), Ok("half closed"));
    assert_eq!(heard.recv_timeout(WAIT), Ok("closed"));
}

#[test]
fn at_the_cap_the_next_connection_waits_until_one_ends() {
    let (at, heard) = echo(&Pool::new(8), SIZE, 1, 1);
    let first = Plain::connect(at).unwrap();
    let mut second = Plain::connect(at).unwrap();
    second.write_all(b"z").unwrap();
    second.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(second.read(&mut [0]).is_err());
    // Whoever can let an idle one go is asked again and again: the first may be busy now and idle later.
    assert!((0..3).all(|_| heard.recv_timeout(WAIT) == Ok("crowded")));
    drop(first);
    assert!(std::iter::from_fn(|| heard.recv_timeout(WAIT).ok()).any(|what| what == "half closed"));
    second.set_read_timeout(Some(WAIT)).unwrap();
    assert_eq!(second.read(&mut [0]).unwrap(), 1);
}

/// Counts what becomes of a link.
struct Count(Outbox, Sender<&'static str>);

impl Peer for Count {
    fn read(&mut self, _: &[u8]) -> bool {
        true
    }
    fn half_closed(&mut self) {
        self.0.cut();
    }
}

impl Party for Count {
    fn ready(&mut self) {}
    fn up(&mut self) {
        self.1.send("up").unwrap_or_default();
    }
    fn down(&mut self, refused: bool) -> bool {
        self.1.send(if refused { "refused" } else { "down" }).unwrap_or_default();
        false
    }
}

fn link(to: SocketAddr, eager: bool) -> (Outbox, Receiver<&'static str>) {
    worker();
    let pool = Pool::new(8);
    let out = Outbox::new(&pool, SIZE);
    let ((told, heard), kept) = (channel(), out.clone());
    let pause = Pause::new(Duration::from_millis(10), Duration::from_millis(80), 5);
    spawn("link", move || hold(&Address::new(to), &out, &pool, eager, pause, &mut Count(out.clone(), told)))
        .unwrap();
    (kept, heard)
}

#[test]
fn a_link_that_is_closed_at_once_is_made_anew_with_growing_pauses() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || listener.incoming().for_each(drop));
    let (_out, heard) = link(at, true);
    let start = Instant::now();
    let ups =
        std::iter::from_fn(|| heard.recv_timeout(WAIT).ok()).filter(|what| *what == "up").take(8).count();
    // Seven pauses of 10, 20, 40 and then 80 ms, each at least halved by chance.
    assert!(ups == 8 && start.elapsed() >= Duration::from_millis(195), "{:?}", start.elapsed());
}

#[test]
fn a_link_on_demand_connects_when_something_waits_and_tells_a_refusal() {
    let at = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (out, heard) = link(at, false);
    assert!(heard.recv_timeout(Duration::from_millis(50)).is_err());
    assert!(out.put(&[b"call"]));
    assert_eq!(heard.recv_timeout(WAIT), Ok("refused"));
    assert!(out.is_empty());
    let listener = TcpListener::bind(at).unwrap();
    out.put(&[b"again"]);
    let mut came = [0; 5];
    listener.accept().unwrap().0.read_exact(&mut came).unwrap();
    assert_eq!((&came, heard.recv_timeout(WAIT)), (b"again", Ok("up")));
}

#[test]
fn a_link_that_was_let_go_connects_again_however_often_it_is_let_go() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (out, heard) = link(listener.local_addr().unwrap(), false);
    for _ in 0..3 {
        assert!(out.put(&[b"call"]), "refused though nothing is wrong");
        assert_eq!(heard.recv_timeout(WAIT), Ok("up"));
        listener.accept().unwrap().0.read_exact(&mut [0; 4]).unwrap();
        out.let_go();
        assert_eq!(heard.recv_timeout(WAIT), Ok("down"));
        out.let_go(); // there is no connection any more
    }
}

#[test]
fn coroutines_that_end_right_after_a_wait_leave_the_worker_free() {
    worker();
    let (told, heard) = channel();
    for n in 0..5_000 {
        let told = told.clone();
        spawn("ends", move || {
            wait_until(now() + n % 30);
            told.send(()).unwrap();
        })
        .unwrap();
    }
    assert_eq!((0..5_000).filter(|_| heard.recv_timeout(WAIT).is_ok()).count(), 5_000);
}

#[test]
fn short_waits_end_each_in_its_time_and_a_bell_ends_a_long_one() {
    // Waits of under a millisecond never ended with the timers of `may`.
    worker();
    let (told, heard) = channel();
    let bell = Arc::new(Bell::default());
    let (waits, rung) = (told.clone(), bell.clone());
    spawn("waits", move || {
        for span in (50..3_000).step_by(50) {
            let at = now() + span;
            wait_until(at);
            waits.send((now() >= at, span)).unwrap();
        }
    })
    .unwrap();
    for _ in (50..3_000).step_by(50) {
        let (in_time, span) = heard.recv_timeout(WAIT).unwrap();
        assert!(in_time, "woken before its {span} us were over");
    }
    spawn("rung", move || {
        rung.attend();
        told.send((true, 0)).unwrap();
        wait_until(now() + 3_600_000_000);
        told.send((true, 1)).unwrap();
    })
    .unwrap();
    assert_eq!(heard.recv_timeout(WAIT), Ok((true, 0)));
    bell.ring();
    assert_eq!(heard.recv_timeout(WAIT), Ok((true, 1)));
}

#[test]
fn room_that_shrinks_takes_nobody_in_until_enough_have_ended_and_room_that_grows_does_at_once() {
    worker();
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let at = listener.local_addr().unwrap();
    let (told, heard) = channel();
    let room = Room::new(2);
    let (pool, log, kept) = (Pool::new(8), slog::Logger::root(slog::Discard, slog::o!()), room.clone());
    let took = move |stream: TcpStream, place| {
        let (pool, told) = (pool.clone(), told.clone());
        spawn("echo", move || {
            let out = Outbox::new(&pool, SIZE);
            drive(&stream, &out, &pool, &mut Echo(out.clone(), 1, told));
            drop((stream, place));
        })
        .unwrap();
    };
    spawn("listen", move || listen(listener, &Door::default(), kept, log, || {}, took)).unwrap();
    let served = |stream: &mut Plain| {
        stream.set_read_timeout(Some(Duration::from_millis(150))).unwrap();
        stream.read(&mut [0]).is_ok_and(|n| n == 1)
    };
    let ask = || {
        let mut stream = Plain::connect(at).unwrap();
        stream.write_all(b"z").unwrap();
        stream
    };
    let [mut first, mut second] = [(); 2].map(|()| ask());
    assert!(served(&mut first) && served(&mut second));
    room.grow(-1);
    let mut third = ask();
    drop(first);
    assert!(!served(&mut third), "one of two that are there has left: that is all there is room for");
    room.grow(1);
    assert!(served(&mut third));
    drop((second, heard));
}
