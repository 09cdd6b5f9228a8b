//! Tests of the dispatcher with sidecar connections on real sockets.

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
fn closes_connections_of_sidecars_that_never_read() {
    start_worker().unwrap();
    let pool = BufferPool::new(500);
    let core = Core::new(START, server_parts(START, 1, &sample_settings(), None), BufferPool::new(500), 4);
    let agent = Outbox::new(&pool, 1 << 16);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let pools = [pool.clone(), BufferPool::new(500)];
    let dispatcher = Arc::new(Dispatcher::new(core, agent, Vec::new(), 8, u64::MAX, pools, log.clone()));
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let ((opened_sender, opened), (closed_sender, closed)) = (channel(), channel());
    let (accepting, listener_handle) = (dispatcher.clone(), dispatcher.listener.clone());
    let accept = move |stream, permit| {
        let dispatcher = accepting.clone();
        let (out, closed_sender) = (Outbox::new(&accepting.pool, 192 * 1024), closed_sender.clone());
        let conn: ConnectionId = dispatcher.connection_opened(out.clone());
        opened_sender.send((conn, out.clone())).unwrap();
        spawn("sidecar", move || {
            let mut connection = SidecarConnection {
                dispatcher: dispatcher.clone(),
                conn,
                frames: sidecar::Reader::default(),
                has_received_frame: true,
            };
            run_connection(&stream, &out, &dispatcher.pool, &mut connection);
            dispatcher.connection_closed(conn, false);
            drop((stream, permit));
            closed_sender.send(conn).unwrap_or_default();
        })
        .unwrap();
    };
    spawn("listen", move || listen(listener, &listener_handle, ConnectionLimit::new(8), log, || {}, accept))
        .unwrap();
    // The slow sidecar reads nothing, so its answers fill the kernel's buffers and then its outbox. Its receive buffer
    // has the minimum size, so that it stays full. The fast sidecar reads everything.
    let slow_socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    slow_socket.set_recv_buffer_size(2_048).unwrap();
    slow_socket.connect(&address.into()).unwrap();
    let slow: TcpStream = slow_socket.into();
    let mut fast = TcpStream::connect(address).unwrap();
    let [(slow_conn, slow_out), (fast_conn, fast_out)] = [(); 2].map(|()| opened.recv_timeout(WAIT).unwrap());
    // Each put tries to write at once, because the kernel reports free space only after much of it is available.
    let mut blocked_puts = 0;
    while blocked_puts < 15 {
        blocked_puts = if slow_out.is_empty() { 0 } else { blocked_puts + 1 };
        assert!(slow_out.put(&[&[7; 10_000]]));
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(fast_out.put(&[&[7; 50_000]]));
    fast.set_read_timeout(Some(WAIT)).unwrap();
    fast.read_exact(&mut [0; 50_000]).unwrap();
    [slow_conn, fast_conn].into_iter().for_each(|conn| dispatcher.close_when_answered(conn, None));
    assert_eq!(fast.read(&mut [0]).unwrap(), 0, "closed gracefully");
    drop(fast);
    assert_eq!(closed.recv_timeout(WAIT), Ok(fast_conn));
    dispatcher.sweep_at(now() + 9_000_000);
    assert!(closed.recv_timeout(Duration::from_millis(100)).is_err(), "closed before the timeout");
    assert!(!slow_out.is_empty(), "the slow sidecar reads nothing");
    dispatcher.sweep_at(now() + 11_000_000);
    assert_eq!(closed.recv_timeout(Duration::from_millis(300)), Ok(slow_conn));
    drop(slow);
}
