//! Status and history that the driver reports.

use super::driver::ChangeDriver;
use super::reply::{CountersReply, EventReply, HistoryReply, ProbationReply, RecoveryReply, StatusReply};
use crate::dispatcher::Dispatcher;
use crate::store::Store;
use asterrill_entries::EntryKind;
use asterrill_rollout::{Event, Phase};

impl ChangeDriver {
    /// Returns the running and pending versions, and the counters since the start.
    pub(super) fn status(&self, dispatcher: &Dispatcher) -> StatusReply {
        let running = self.rollout.running();
        let configuration = &running.content.configuration;
        let probation = match self.rollout.phase() {
            Phase::Confirmed => None,
            Phase::Probation(until) => Some(ProbationReply { until, good: self.rollout.last_good().number }),
        };
        StatusReply {
            version: running.number,
            hash: running.hash.to_string(),
            base: running.base,
            methods: configuration.count(EntryKind::Method),
            tenants: configuration.count(EntryKind::Tenant),
            probation,
            staged: self.rollout.staged().map(|version| version.number),
            queued: self.rollout.queued().map(|version| version.number),
            stage: recovery_stage(dispatcher),
            counters: self.counters(dispatcher),
        }
    }

    fn counters(&self, dispatcher: &Dispatcher) -> CountersReply {
        let stats = dispatcher.stats();
        CountersReply {
            rpcs: stats.rpcs,
            ok: stats.ok,
            pushed_back: stats.rejected,
            aborted: stats.aborted,
            gone: stats.rpcs_cancelled,
            changes: stats.changes,
            changes_refused: stats.changes_refused,
            half_applied: stats.half_applied,
            store_failed: self.store.as_ref().map(Store::failed_writes),
        }
    }

    /// Returns the events of versions, oldest first.
    pub(super) fn history(&self) -> HistoryReply {
        let to_reply = |event: &Event| EventReply {
            at: event.at,
            what: event.kind.as_str(),
            version: event.version,
            hash: event.hash.to_string(),
            base: event.base,
            why: event.reason.clone(),
        };
        HistoryReply { history: self.rollout.history().map(to_reply).collect() }
    }
}

fn recovery_stage(dispatcher: &Dispatcher) -> Option<RecoveryReply> {
    dispatcher.with(|core, _, _| {
        let (stages, outages) = core.recovery_stages()?;
        Some(RecoveryReply {
            name: stages.stage().name(),
            why: stages.reason().as_str(),
            since: stages.since(),
            outages,
        })
    })
}
