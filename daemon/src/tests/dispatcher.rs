//! The dispatcher with a sidecar's connection on a real socket.

use super::{sample_settings, server_parts, START};
use crate::connection::SidecarConnection;
use crate::core::Core;
use crate::dispatcher::Dispatcher;
use crate::ids::ConnectionId;
use asterrill_net::{
    bind, listen, now, run_connection, spawn, start_worker, BufferPool, ConnectionLimit, Outbox,
};
use asterrill_protocol::sidecar;
use socket2::{Domain, Socket, Type};
use std::io::Read;
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(10);

#[test]
fn cuts_off_sidecars_that_never_read() {
    start_worker().unwrap();
    let pool = BufferPool::new(500);
    let core = Core::new(START, server_parts(START, 1, &sample_settings(), None), BufferPool::new(500), 4);
    let agent = Outbox::new(&pool, 1 << 16);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let pools = [pool.clone(), BufferPool::new(500)];
    let dispatcher = Arc::new(Dispatcher::new(core, agent, Vec::new(), 8, u64::MAX, pools, log.clone()));
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let at = listener.local_addr().unwrap();
    let ((come, came), (ends, end)) = (channel(), channel());
    let (of, door) = (dispatcher.clone(), dispatcher.listener.clone());
    let took = move |stream, place| {
        let (dispatcher, out, ends) = (of.clone(), Outbox::new(&of.pool, 192 * 1024), ends.clone());
        let conn: ConnectionId = dispatcher.connection_opened(out.clone());
        come.send((conn, out.clone())).unwrap();
        spawn("sidecar", move || {
            let mut peer = SidecarConnection {
                dispatcher: dispatcher.clone(),
                conn,
                frames: sidecar::Reader::default(),
                has_received_frame: true,
            };
            run_connection(&stream, &out, &dispatcher.pool, &mut peer);
            dispatcher.connection_closed(conn, false);
            drop((stream, place));
            ends.send(conn).unwrap_or_default();
        })
        .unwrap();
    };
    spawn("listen", move || listen(listener, &door, ConnectionLimit::new(8), log, || {}, took)).unwrap();
    // One takes nothing: what it is owed fills the system's buffers, then its outbox. The other takes all.
    // Its buffer is as small as can be, so that it fills for good.
    let small = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    small.set_recv_buffer_size(2_048).unwrap();
    small.connect(&at.into()).unwrap();
    let slow: TcpStream = small.into();
    let mut quick = TcpStream::connect(at).unwrap();
    let [(slow_conn, out), (quick_conn, other)] = [(); 2].map(|()| came.recv_timeout(WAIT).unwrap());
    // Each piece is tried at once: the system tells of room only once there is much of it.
    let mut waiting = 0;
    while waiting < 15 {
        waiting = if out.is_empty() { 0 } else { waiting + 1 };
        assert!(out.put(&[&[7; 10_000]]));
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(other.put(&[&[7; 50_000]]));
    quick.set_read_timeout(Some(WAIT)).unwrap();
    quick.read_exact(&mut [0; 50_000]).unwrap();
    [slow_conn, quick_conn].into_iter().for_each(|conn| dispatcher.close_when_answered(conn, None));
    assert_eq!(quick.read(&mut [0]).unwrap(), 0, "it ends in order");
    drop(quick);
    assert_eq!(end.recv_timeout(WAIT), Ok(quick_conn));
    dispatcher.sweep_at(now() + 9_000_000);
    assert!(end.recv_timeout(Duration::from_millis(100)).is_err(), "it still has time");
    assert!(!out.is_empty(), "it takes nothing");
    dispatcher.sweep_at(now() + 11_000_000);
    assert_eq!(end.recv_timeout(Duration::from_millis(300)), Ok(slow_conn));
    drop(slow);
}
