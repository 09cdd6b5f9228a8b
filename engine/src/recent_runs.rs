//! Ids of the RPCs that were launched recently.
//!
//! An id is new with each attempt. One that comes again after its RPC has ended, for example because its first sender has
//! left, would be run a second time. RPCs that may take effect twice are remembered apart, so that others don't displace
//! them.

use asterrill::RpcId;
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of remembered ids of RPCs whose method is not idempotent.
const MAX_NON_IDEMPOTENT_RUNS: usize = 16_384;
/// Maximum number of remembered ids of RPCs whose method is idempotent.
const MAX_IDEMPOTENT_RUNS: usize = 4_096;

/// Launched RPCs, each until as many others were launched after it as are remembered.
pub(crate) struct RecentRuns {
    idempotent: RecentIds,
    non_idempotent: RecentIds,
}

impl RecentRuns {
    pub(crate) fn new() -> RecentRuns {
        RecentRuns {
            idempotent: RecentIds::new(MAX_IDEMPOTENT_RUNS),
            non_idempotent: RecentIds::new(MAX_NON_IDEMPOTENT_RUNS),
        }
    }

    /// Remembers that an RPC was launched.
    pub(crate) fn insert(&mut self, id: RpcId, idempotent: bool) {
        let runs = if idempotent { &mut self.idempotent } else { &mut self.non_idempotent };
        runs.insert(id);
    }

    /// Forgets an RPC whose executor has started nothing.
    pub(crate) fn remove(&mut self, id: RpcId) {
        self.idempotent.ids.remove(&id);
        self.non_idempotent.ids.remove(&id);
    }

    /// Reports whether an RPC with this id was launched.
    pub(crate) fn contains(&self, id: RpcId) -> bool {
        self.idempotent.ids.contains(&id) || self.non_idempotent.ids.contains(&id)
    }
}

/// Bounded set of ids that forgets the oldest.
struct RecentIds {
    ids: BTreeSet<RpcId>,
    /// The ids in the order of their insertion, including removed ones.
    order: VecDeque<RpcId>,
    capacity: usize,
}

impl RecentIds {
    fn new(capacity: usize) -> RecentIds {
        RecentIds { ids: BTreeSet::new(), order: VecDeque::new(), capacity }
    }

    fn insert(&mut self, id: RpcId) {
        if !self.ids.insert(id) {
            return;
        }
        self.order.push_back(id);
        while self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }
}
