//! Recovery after a start or an outage: the snapshot of learned state, slow start, and the stage that is reached.

use super::active_names::ActiveNames;
use super::state::{Core, CoreState};
use crate::outbound::Outbound;
use crate::recovery::RecoveryTracker;
use asterrill::Us;
use asterrill_recovery::{ClockReading, Snapshot, StageTracker};

impl Core {
    /// Recovery is tracked from now on.
    pub fn start_recovery(&mut self, now: Us, recovery: RecoveryTracker, outbound: &mut dyn Outbound) {
        let limits = recovery.limits();
        self.state.recovery = Some(recovery);
        self.with_engine(now, outbound, |engine, now, outputs| {
            engine.set_recovery_limits(now, limits, outputs)
        });
    }

    /// The agent has greeted: at the first greeting the snapshot is assessed and what holds of it is restored. `empty`:
    /// the agent started cold.
    pub fn agent_greeted(&mut self, now: Us, empty: bool, outbound: &mut dyn Outbound) {
        let status = self.engine.status();
        let CoreState { recovery, names, .. } = &mut self.state;
        let Some(recovery) = recovery else { return };
        let active = ActiveNames { names, engine: &self.engine };
        let restored = recovery.agent_greeted(now, empty, status, &active);
        let limits = recovery.limits();
        self.with_engine(now, outbound, |engine, now, outputs| {
            engine.set_recovery_limits(now, limits, outputs);
            if let Some(restored) = restored {
                outputs.outbound.log(&format!("snapshot restored: {}", restored.summary));
                engine.restore(now, restored.learned, outputs);
            }
        });
    }

    /// Follows how far recovery has come.
    pub(super) fn update_recovery(&mut self, now: Us, outbound: &mut dyn Outbound) {
        let Some(recovery) = &mut self.state.recovery else { return };
        let update = recovery.update(now, &self.engine.stats, self.engine.status());
        if let Some(stage) = update.entered_stage {
            let why = recovery.stages().reason().as_str();
            outbound.log(&format!("stage {}: {why}", stage.name()));
        }
        if let Some(limits) = update.limits {
            self.with_engine(now, outbound, |engine, now, outputs| {
                engine.set_recovery_limits(now, limits, outputs)
            });
        }
    }

    /// Sets the hash of the settings that have come into force.
    pub fn set_settings_hash(&mut self, hash: u64) {
        if let Some(recovery) = &mut self.state.recovery {
            recovery.set_settings_hash(hash);
        }
    }

    /// The snapshot to persist now, if one is due or the server leaves.
    pub fn take_snapshot(
        &mut self, now: Us, clocks: impl Fn() -> ClockReading, leaving: bool,
    ) -> Option<Snapshot> {
        let recovery = self.state.recovery.as_mut()?;
        if !recovery.is_snapshot_due(now, leaving) {
            return None;
        }
        self.state.stats.snapshots += 1;
        let active = ActiveNames { names: &self.state.names, engine: &self.engine };
        Some(recovery.snapshot(clocks(), self.engine.learned_state(), &active))
    }

    /// The stages of recovery, and how many outages of the upstream tier were detected; `None` where recovery is not
    /// tracked.
    pub fn recovery_stages(&self) -> Option<(&StageTracker, u64)> {
        self.state.recovery.as_ref().map(|recovery| (recovery.stages(), recovery.outages()))
    }
}
