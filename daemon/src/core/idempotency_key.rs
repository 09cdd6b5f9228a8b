//! The idempotency key of an RPC.

use asterrill_engine::IdempotencyKey;

/// The key by which the attempts of one RPC are recognised.
///
/// The protocol has no field for it and each attempt has an id of its own; what stays the same is the method, the
/// tenant and the body. A client that retries may come by another sidecar, so the caller is left out
/// (`docs/program.md`).
pub(super) fn idempotency_key(method: &str, tenant: &str, body: &[u8]) -> IdempotencyKey {
    let mut hash = blake3::Hasher::new();
    for name in [method, tenant] {
        hash.update(&(name.len() as u64).to_be_bytes()).update(name.as_bytes());
    }
    let mut key = [0; 16];
    hash.update(body).finalize_xof().fill(&mut key);
    IdempotencyKey(key)
}

/// A shorter key for the response cache: the first half of the idempotency key.
pub(super) fn cache_key(key: IdempotencyKey) -> Option<u64> {
    let IdempotencyKey(bytes) = key;
    bytes.first_chunk().map(|half| u64::from_be_bytes(*half))
}
