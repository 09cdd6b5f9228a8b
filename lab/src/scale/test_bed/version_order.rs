//! Pairs of RPCs that are sent at once while one version follows another: their answers show under which version each of
//! the two was decided, and it is never an earlier one under the newer and a later one under the older.

use super::health::CHECK_INTERVAL;
use super::ledger::Ledger;
use super::rpc::{encode_rpc, PATIENCE};
use super::settings::{method_name, sentinel_tenants, tenant_name};
use crate::sidecar::{read_frame, ANSWER, OK, REJECTED};
use crate::sync::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;

/// Whether two RPCs of one connection, the earlier first, were decided under a newer version and then an older one. Each
/// is of a tenant that the same change adds, or removes when it is undone; the arguments say whether its tenant was
/// recognised. `both_before`: both tenants were there before the change.
pub(super) fn out_of_order(earlier: bool, later: bool, both_before: bool) -> bool {
    earlier != both_before && later == both_before
}

/// Calls both tenants of the ledger's sentinel pair at once, again and again, until the load ends.
pub(super) fn check_repeatedly(mut to: TcpStream, ledger: &Ledger, seed: u64) -> Option<()> {
    to.set_read_timeout(Some(PATIENCE * 2)).ok()?;
    let mut rng = StdRng::seed_from_u64(seed);
    // An RPC that is run first: a connection that brings only unknown tenants is closed.
    let (mut stream, mut last_pair, mut both_before) = (1_u32, 0, false);
    to.write_all(&encode_rpc(stream, &method_name(0), Some(&tenant_name(0)), 1, rng.random(), b"pair 0"))
        .ok()?;
    while read_frame(&mut to)?.kind != ANSWER {}
    while !ledger.is_stopped() {
        let pair = ledger.sentinel_pair.load(Ordering::Acquire);
        if pair != last_pair {
            (last_pair, both_before) = (pair, false);
        }
        if pair == 0 {
            thread::sleep(CHECK_INTERVAL);
            continue;
        }
        to.write_all(&encode_pair(pair, stream, &mut rng)).ok()?;
        let recognised = read_pair(&mut to, stream)?;
        stream += 2;
        let [earlier, later] = recognised;
        let mut violations = lock(&ledger.violations);
        violations.older_after_newer += u64::from(out_of_order(earlier, later, both_before));
        violations.pairs += 1;
        drop(violations);
        both_before = if earlier == later { earlier } else { both_before };
        thread::sleep(CHECK_INTERVAL * 2);
    }
    Some(())
}

/// The RPCs of both tenants, in random order, on the two streams behind `stream`.
fn encode_pair(pair: u64, stream: u32, rng: &mut StdRng) -> Vec<u8> {
    let mut tenants = sentinel_tenants(pair);
    if rng.random() {
        tenants.reverse();
    }
    let mut bytes = Vec::new();
    for (n, tenant) in tenants.iter().enumerate() {
        let (trace, stream) = (rng.random(), stream + 1 + n as u32);
        let body = format!("pair {stream}");
        bytes.extend(encode_rpc(stream, &method_name(0), Some(tenant), 1, trace, body.as_bytes()));
    }
    bytes
}

/// Whether the tenants of the two streams behind `stream` were recognised, in the order in which they were sent.
fn read_pair(from: &mut TcpStream, stream: u32) -> Option<[bool; 2]> {
    let mut recognised = [None; 2];
    loop {
        if let [Some(earlier), Some(later)] = recognised {
            return Some([earlier, later]);
        }
        let frame = read_frame(from)?;
        let index = frame.stream.wrapping_sub(stream + 1) as usize;
        if let (ANSWER, Some(slot)) = (frame.kind, recognised.get_mut(index)) {
            // A tenant that is rejected for want of capacity was recognised all the same.
            *slot = Some(matches!(frame.code(), Some(OK | REJECTED)));
        }
    }
}

#[cfg(test)]
#[path = "tests/version_order.rs"]
mod tests;
