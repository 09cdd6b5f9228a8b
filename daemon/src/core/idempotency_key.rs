//! Idempotency keys of RPCs.

use asterrill_engine::IdempotencyKey;

/// Returns the key that identifies the attempts of one RPC.
///
/// The protocol has no field for such a key, and each attempt has its own id, so the key is a hash of method, tenant
/// and body, which are the same in all attempts. The caller is not part of it, because a client may retry through
/// another sidecar (`docs/program.md`).
pub(super) fn idempotency_key(method: &str, tenant: &str, body: &[u8]) -> IdempotencyKey {
    let mut hash = blake3::Hasher::new();
    for name in [method, tenant] {
        hash.update(&(name.len() as u64).to_be_bytes()).update(name.as_bytes());
    }
    let mut key = [0; 16];
    hash.update(body).finalize_xof().fill(&mut key);
    IdempotencyKey(key)
}

/// Returns the shorter key used by the response cache: the first half of the idempotency key.
pub(super) fn cache_key(key: IdempotencyKey) -> Option<u64> {
    let IdempotencyKey(bytes) = key;
    bytes.first_chunk().map(|half| u64::from_be_bytes(*half))
}
