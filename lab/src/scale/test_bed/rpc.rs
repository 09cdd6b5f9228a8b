//! Encoding of the RPCs of all loads.

use crate::sidecar::RpcHeader;
use std::time::Duration;

/// Time for which a caller waits for an answer.
pub(super) const RPC_TIMEOUT: Duration = Duration::from_secs(2);

/// Encodes one RPC as a sidecar does.
pub(super) fn encode_rpc(
    stream: u32, method: &str, tenant: Option<&str>, caller: u64, trace: u64, body: &[u8],
) -> Vec<u8> {
    RpcHeader { method, trace, caller, timeout: RPC_TIMEOUT, tenant }.encode(stream, body)
}
