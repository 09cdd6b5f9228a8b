//! Health checks and RPCs on connections of their own.

use crate::method::LOOK_UP;
use crate::sidecar::{encode_health_check, read_frame, RpcHeader, HEALTH, OK};
use crate::time::ms;
use rand::rngs::StdRng;
use rand::Rng;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Within this time a health check or an RPC has its answer.
pub(super) const ANSWERED_WITHIN: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = ms(500);

/// What a sidecar says of an RPC of [`LOOK_UP`].
pub(super) fn look_up(caller: u64, rng: &mut StdRng) -> RpcHeader<'static> {
    RpcHeader { method: LOOK_UP.name, trace: rng.random(), caller, timeout: ms(1_500), tenant: None }
}

/// Whether a health check on a connection of its own is answered good by then; it is tried again and again.
pub(super) fn is_healthy_by(at: SocketAddr, until: Instant) -> bool {
    while Instant::now() < until {
        if is_healthy(at).is_some() {
            return true;
        }
        thread::sleep(ms(5));
    }
    false
}

fn is_healthy(at: SocketAddr) -> Option<()> {
    let mut to = TcpStream::connect_timeout(&at, CONNECT_TIMEOUT).ok()?;
    to.set_read_timeout(Some(ANSWERED_WITHIN)).ok()?;
    to.write_all(&encode_health_check(1)).ok()?;
    let frame = read_frame(&mut to)?;
    (frame.kind == HEALTH && frame.code() == Some(OK)).then_some(())
}

/// Sends one RPC on a connection of its own: the code of its answer, if it is answered in time. A connection that is not
/// accepted, or ends at once, is tried again.
pub(super) fn call_once(at: SocketAddr, caller: u64, rng: &mut StdRng) -> Option<u8> {
    let until = Instant::now() + ANSWERED_WITHIN;
    while Instant::now() < until {
        if let Some(code) = call(at, caller, until, rng) {
            return Some(code);
        }
    }
    None
}

fn call(at: SocketAddr, caller: u64, until: Instant, rng: &mut StdRng) -> Option<u8> {
    let mut to = TcpStream::connect_timeout(&at, CONNECT_TIMEOUT).ok()?;
    let left = until.saturating_duration_since(Instant::now());
    to.set_read_timeout(Some(left.max(ms(1)))).ok()?;
    to.write_all(&look_up(caller, rng).encode(1, b"look 1")).ok()?;
    loop {
        let frame = read_frame(&mut to)?;
        if frame.answers(1) {
            return frame.code();
        }
    }
}
