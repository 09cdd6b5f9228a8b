//! Recovery after a start or an outage: snapshots of learned state, slow start and recovery stages.

use super::active_names::ActiveNames;
use super::state::{Core, CoreState};
use crate::outbound::Outbound;
use crate::recovery::RecoveryTracker;
use asterrill::Us;
use asterrill_recovery::{ClockReading, Snapshot, StageTracker};

impl Core {
    /// Starts tracking recovery.
    pub fn start_recovery(&mut self, now: Us, recovery: RecoveryTracker, outbound: &mut dyn Outbound) {
        let limits = recovery.limits();
        self.state.recovery = Some(recovery);
        self.with_engine(now, outbound, |engine, now, outputs| {
            engine.set_recovery_limits(now, limits, outputs)
        });
    }

    /// Restores the valid parts of the stored snapshot at the agent's first greeting. Later calls restore nothing.
    ///
    /// `agent_cold` tells whether the agent started with empty caches.
    pub fn restore_snapshot(&mut self, now: Us, agent_cold: bool, outbound: &mut dyn Outbound) {
        let status = self.engine.status();
        let CoreState { recovery, names, .. } = &mut self.state;
        let Some(recovery) = recovery else { return };
        let active = ActiveNames { names, engine: &self.engine };
        let restored = recovery.agent_greeted(now, agent_cold, status, &active);
        let limits = recovery.limits();
        self.with_engine(now, outbound, |engine, now, outputs| {
            engine.set_recovery_limits(now, limits, outputs);
            if let Some(restored) = restored {
                outputs.outbound.log(&format!("snapshot restored: {}", restored.summary));
                engine.restore(now, restored.learned, outputs);
            }
        });
    }

    /// Updates slow start and the recovery stage, and logs a stage that was entered.
    pub(super) fn update_recovery(&mut self, now: Us, outbound: &mut dyn Outbound) {
        let Some(recovery) = &mut self.state.recovery else { return };
        let update = recovery.update(now, &self.engine.stats, self.engine.status());
        if let Some(stage) = update.entered_stage {
            let reason = recovery.stages().reason().as_str();
            outbound.log(&format!("recovery stage {} entered: {reason}", stage.name()));
        }
        if let Some(limits) = update.limits {
            self.with_engine(now, outbound, |engine, now, outputs| {
                engine.set_recovery_limits(now, limits, outputs)
            });
        }
    }

    /// Sets the hash of the active settings.
    pub fn set_settings_hash(&mut self, hash: u64) {
        if let Some(recovery) = &mut self.state.recovery {
            recovery.set_settings_hash(hash);
        }
    }

    /// Returns the snapshot to store now, if one is due or the server is shutting down.
    pub fn take_snapshot(
        &mut self, now: Us, clocks: impl Fn() -> ClockReading, shutting_down: bool,
    ) -> Option<Snapshot> {
        let recovery = self.state.recovery.as_mut()?;
        if !recovery.is_snapshot_due(now, shutting_down) {
            return None;
        }
        self.state.stats.snapshots += 1;
        let active = ActiveNames { names: &self.state.names, engine: &self.engine };
        Some(recovery.snapshot(clocks(), self.engine.learned_state(), &active))
    }

    /// Returns the recovery stages and the number of detected outages of the upstream tier, or `None` if recovery is
    /// not tracked.
    pub fn recovery_stages(&self) -> Option<(&StageTracker, u64)> {
        self.state.recovery.as_ref().map(|recovery| (recovery.stages(), recovery.outages()))
    }
}
