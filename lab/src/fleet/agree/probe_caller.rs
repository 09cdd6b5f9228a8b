//! Stub of the caller that is allowed and denied; it calls every node.

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

/// Identifier of the caller.
pub(super) const PROBE_CALLER_ID: u64 = 77;
const CONNECT_TIMEOUT: Duration = ms(200);
const RECONNECT_DELAY: Duration = ms(30);
const READ_TIMEOUT: Duration = ms(2_500);
const UNANSWERED_AFTER: Duration = ms(2_400);
const RPC_TIMEOUT: Duration = ms(1_500);
const CALL_INTERVAL: Duration = ms(40);
const FINAL_ANSWERS_WAIT: Duration = ms(300);

/// A call with the time at which it was sent, the node, and whether it was served.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) at_ms: u64,
    pub(super) node: usize,
    pub(super) served: bool,
}

/// Calls of the caller, and the attempts without an answer.
#[derive(Default)]
pub(super) struct CallLedger {
    pub(super) calls: Vec<Call>,
    pub(super) unanswered: Vec<UnansweredAttempt>,
}

/// The running caller, with a thread for each node.
pub(super) struct ProbeCaller {
    ledger: Arc<Mutex<CallLedger>>,
    stopped: Arc<AtomicBool>,
}

impl ProbeCaller {
    pub(super) fn start(fleet: &Fleet) -> ProbeCaller {
        let caller = ProbeCaller { ledger: Arc::default(), stopped: Arc::default() };
        for (node, member) in fleet.members.iter().enumerate() {
            let (address, start) = (member.node.address, fleet.start);
            let (ledger, stopped) = (caller.ledger.clone(), caller.stopped.clone());
            std::thread::spawn(move || call_node(address, node, start, &ledger, &stopped));
        }
        caller
    }

    /// Stops the caller and returns its statistics.
    pub(super) fn stop(self) -> CallLedger {
        self.stopped.store(true, Ordering::Release);
        std::thread::sleep(FINAL_ANSWERS_WAIT);
        std::mem::take(&mut *lock(&self.ledger))
    }
}

/// Calls a node repeatedly until the caller is stopped, and reconnects when the connection breaks.
fn call_node(
    address: SocketAddr, node: usize, start: Instant, ledger: &Mutex<CallLedger>, stopped: &AtomicBool,
) {
    while !stopped.load(Ordering::Acquire) {
        let Ok(mut connection) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
            std::thread::sleep(RECONNECT_DELAY);
            continue;
        };
        connection.set_nodelay(true).unwrap_or_default();
        connection.set_read_timeout(Some(READ_TIMEOUT)).unwrap_or_default();
        for stream in 1.. {
            if stopped.load(Ordering::Acquire) {
                return;
            }
            let trace = unix_us() ^ (node as u64) << 56;
            let header = RpcHeader {
                method: TILL_PRICE.name,
                trace,
                caller: PROBE_CALLER_ID,
                timeout: RPC_TIMEOUT,
                tenant: None,
            };
            let (at_ms, sent) = (start.elapsed().as_millis() as u64, Instant::now());
            if connection.write_all(&header.encode(stream, b"price 77")).is_err() {
                break;
            }
            let answer = read_answer(&mut connection, stream);
            let mut ledger = lock(ledger);
            match answer.as_ref().and_then(Frame::code) {
                // An aborted run does not show which list the node enforces.
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
            std::thread::sleep(CALL_INTERVAL);
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
