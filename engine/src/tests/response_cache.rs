//! Tests of the response cache.

use crate::response_cache::{CacheKey, ResponseCache};
use asterrill::{MethodId, RpcId};

/// Guards against a loop over expired results that never ends, after a sidecar has used the id of a cached read again.
#[test]
fn expires_a_result_whose_id_was_used_again() {
    let key = |key| CacheKey { method: MethodId(0), key };
    let id = RpcId::from_number(7);
    let mut cache = ResponseCache::new();
    cache.register(key(1), id);
    cache.complete(id, 100, || Some("first"));
    cache.register(key(2), id);
    assert_eq!((cache.original(key(1), 50), cache.result(id)), (None, None), "the first read is forgotten");
    cache.expire(200);
    assert_eq!(cache.original(key(2), 200), Some(id), "an open read does not expire");
    cache.complete(id, 300, || Some("second"));
    cache.expire(300);
    assert_eq!(cache.original(key(2), 300), None);
}
