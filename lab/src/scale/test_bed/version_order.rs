//! A check that versions take effect in order, by pairs of RPCs that are sent at once while one version replaces
//! another.
//!
//! The answers show under which version each RPC of a pair was decided. It is a violation if the first was decided
//! under the newer version and the second under the older one.

use super::health::CHECK_INTERVAL;
use super::ledger::Ledger;
use super::rpc::{encode_rpc, RPC_TIMEOUT};
use super::settings::{method_name, sentinel_tenants, tenant_name};
use crate::sidecar::{new_trace, read_frame, ANSWER, OK, REJECTED};
use crate::sync::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;

/// Reports whether two RPCs of one connection were decided under a newer version and then under an older one.
///
/// Both tenants are added by the same change, or removed when it is undone. `first` and `second` are set if the
/// tenants of the RPCs were recognised, in the order of sending; `known_before` is set if both tenants existed before
/// the change.
pub(super) fn out_of_order(first: bool, second: bool, known_before: bool) -> bool {
    first != known_before && second == known_before
}

/// Calls both tenants of the ledger's sentinel pair at once, repeatedly, until the load is stopped.
pub(super) fn check_repeatedly(mut to: TcpStream, ledger: &Ledger, seed: u64) -> Option<()> {
    to.set_read_timeout(Some(RPC_TIMEOUT * 2)).ok()?;
    let mut rng = StdRng::seed_from_u64(seed);
    // The first RPC is valid, because a connection on which only unknown tenants call is closed.
    let (mut stream, mut last_pair, mut known_before) = (1_u32, 0, false);
    to.write_all(&encode_rpc(
        stream,
        &method_name(0),
        Some(&tenant_name(0)),
        1,
        new_trace(&mut rng),
        b"pair 0",
    ))
    .ok()?;
    while read_frame(&mut to)?.kind != ANSWER {}
    while !ledger.is_stopped() {
        let pair = ledger.sentinel_pair.load(Ordering::Acquire);
        if pair != last_pair {
            (last_pair, known_before) = (pair, false);
        }
        if pair == 0 {
            thread::sleep(CHECK_INTERVAL);
            continue;
        }
        to.write_all(&encode_pair(pair, stream, &mut rng)).ok()?;
        let recognised = read_pair(&mut to, stream)?;
        stream += 2;
        let [first, second] = recognised;
        let mut violations = lock(&ledger.violations);
        violations.older_after_newer += u64::from(out_of_order(first, second, known_before));
        violations.pairs += 1;
        drop(violations);
        known_before = if first == second { first } else { known_before };
        thread::sleep(CHECK_INTERVAL * 2);
    }
    Some(())
}

/// Encodes the RPCs of both tenants, in random order, on the two streams after `stream`.
fn encode_pair(pair: u64, stream: u32, rng: &mut StdRng) -> Vec<u8> {
    let mut tenants = sentinel_tenants(pair);
    if rng.random() {
        tenants.reverse();
    }
    let mut bytes = Vec::new();
    for (n, tenant) in tenants.iter().enumerate() {
        let (trace, stream) = (new_trace(rng), stream + 1 + n as u32);
        let body = format!("pair {stream}");
        bytes.extend(encode_rpc(stream, &method_name(0), Some(tenant), 1, trace, body.as_bytes()));
    }
    bytes
}

/// Reads whether the tenants of the two streams after `stream` were recognised, in the order of sending.
fn read_pair(from: &mut TcpStream, stream: u32) -> Option<[bool; 2]> {
    let mut recognised = [None; 2];
    loop {
        if let [Some(first), Some(second)] = recognised {
            return Some([first, second]);
        }
        let frame = read_frame(from)?;
        let index = frame.stream.wrapping_sub(stream + 1) as usize;
        if let (ANSWER, Some(slot)) = (frame.kind, recognised.get_mut(index)) {
            // A rejection for lack of capacity implies that the tenant was recognised.
            *slot = Some(matches!(frame.code(), Some(OK | REJECTED)));
        }
    }
}

#[cfg(test)]
#[path = "tests/version_order.rs"]
mod tests;
