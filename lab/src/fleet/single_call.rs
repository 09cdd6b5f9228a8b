//! Health checks and RPCs on separate connections.

use crate::method::LOOK_UP;
use crate::sidecar::{encode_health_check, read_frame, RpcHeader, HEALTH, OK};
use crate::time::ms;
use rand::rngs::StdRng;
use rand::Rng;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time within which a health check or an RPC has to be answered.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = ms(500);

/// Returns the header of an RPC of [`LOOK_UP`], with a random trace identifier.
pub(super) fn lookup_header(caller: u64, rng: &mut StdRng) -> RpcHeader<'static> {
    RpcHeader { method: LOOK_UP.name, trace: rng.random(), caller, timeout: ms(1_500), tenant: None }
}

/// Reports whether a health check on a separate connection is answered as healthy before the deadline. Failed checks
/// are repeated.
pub(super) fn is_healthy_by(address: SocketAddr, deadline: Instant) -> bool {
    while Instant::now() < deadline {
        if is_healthy(address).is_some() {
            return true;
        }
        thread::sleep(ms(5));
    }
    false
}

fn is_healthy(address: SocketAddr) -> Option<()> {
    let mut to = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    to.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    to.write_all(&encode_health_check(1)).ok()?;
    let frame = read_frame(&mut to)?;
    (frame.kind == HEALTH && frame.code() == Some(OK)).then_some(())
}

/// Sends an RPC on a separate connection and returns the code of its answer, if there is one in time. A connection
/// that is not accepted, or ends at once, is opened again.
pub(super) fn call_once(address: SocketAddr, caller: u64, rng: &mut StdRng) -> Option<u8> {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(code) = call(address, caller, deadline, rng) {
            return Some(code);
        }
    }
    None
}

fn call(address: SocketAddr, caller: u64, deadline: Instant, rng: &mut StdRng) -> Option<u8> {
    let mut to = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    let remaining = deadline.saturating_duration_since(Instant::now());
    to.set_read_timeout(Some(remaining.max(ms(1)))).ok()?;
    to.write_all(&lookup_header(caller, rng).encode(1, b"look 1")).ok()?;
    loop {
        let frame = read_frame(&mut to)?;
        if frame.answers(1) {
            return frame.code();
        }
    }
}
