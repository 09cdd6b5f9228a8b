//! The caller that is admitted and barred, at every node.

use crate::fleet::callers::UnansweredAttempt;
use crate::fleet::cluster::Fleet;
use crate::method::TILL_PRICE;
use crate::sidecar::{read_frame, unix_us, Frame, RpcHeader, ABORTED, OK};
use crate::sync::lock;
use crate::time::ms;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The number of the caller.
pub(super) const CALLER: u64 = 77;
const CONNECT_TIMEOUT: Duration = ms(200);
const RECONNECT_PAUSE: Duration = ms(30);
const READ_TIMEOUT: Duration = ms(2_500);
const UNANSWERED_AFTER: Duration = ms(2_400);
const PATIENCE: Duration = ms(1_500);
const CALL_PAUSE: Duration = ms(40);
const LAST_ANSWERS: Duration = ms(300);

/// One call: when it was sent, to whom, and whether it was served.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) at_ms: u64,
    pub(super) node: usize,
    pub(super) served: bool,
}

/// The caller's account.
#[derive(Default)]
pub(super) struct CallLedger {
    pub(super) calls: Vec<Call>,
    pub(super) unanswered: Vec<UnansweredAttempt>,
}

/// The caller, in a thread for each node.
pub(super) struct BarredCaller {
    ledger: Arc<Mutex<CallLedger>>,
    stopped: Arc<AtomicBool>,
}

impl BarredCaller {
    pub(super) fn start(fleet: &Fleet) -> BarredCaller {
        let caller = BarredCaller { ledger: Arc::default(), stopped: Arc::default() };
        for (node, member) in fleet.members.iter().enumerate() {
            let (at, start) = (member.node.address, fleet.start);
            let (ledger, stopped) = (caller.ledger.clone(), caller.stopped.clone());
            std::thread::spawn(move || call_node(at, node, start, &ledger, &stopped));
        }
        caller
    }

    /// Calls no more; what was called.
    pub(super) fn stop(self) -> CallLedger {
        self.stopped.store(true, Ordering::Release);
        std::thread::sleep(LAST_ANSWERS);
        std::mem::take(&mut *lock(&self.ledger))
    }
}

/// Calls one node again and again, over a connection that is made anew when it breaks.
fn call_node(at: SocketAddr, node: usize, start: Instant, ledger: &Mutex<CallLedger>, stopped: &AtomicBool) {
    while !stopped.load(Ordering::Acquire) {
        let Ok(mut connection) = TcpStream::connect_timeout(&at, CONNECT_TIMEOUT) else {
            std::thread::sleep(RECONNECT_PAUSE);
            continue;
        };
        connection.set_nodelay(true).unwrap_or_default();
        connection.set_read_timeout(Some(READ_TIMEOUT)).unwrap_or_default();
        for stream in 1.. {
            if stopped.load(Ordering::Acquire) {
                return;
            }
            let trace = unix_us() ^ (node as u64) << 56;
            let header =
                RpcHeader { method: TILL_PRICE.name, trace, caller: CALLER, timeout: PATIENCE, tenant: None };
            let (at_ms, sent) = (start.elapsed().as_millis() as u64, Instant::now());
            if connection.write_all(&header.encode(stream, b"price 77")).is_err() {
                break;
            }
            let answer = read_answer(&mut connection, stream);
            let mut ledger = lock(ledger);
            match answer.as_ref().and_then(Frame::code) {
                // What was aborted says nothing of lists.
                Some(ABORTED) => {}
                Some(code) => ledger.calls.push(Call { at_ms, node, served: code == OK }),
                None if sent.elapsed() >= UNANSWERED_AFTER => {
                    ledger.unanswered.push(UnansweredAttempt { node, sent });
                }
                None => {}
            }
            drop(ledger);
            if answer.is_none() {
                break;
            }
            std::thread::sleep(CALL_PAUSE);
        }
    }
}

fn read_answer(from: &mut TcpStream, stream: u32) -> Option<Frame> {
    loop {
        let frame = read_frame(from)?;
        if frame.answers(stream) {
            return Some(frame);
        }
    }
}
