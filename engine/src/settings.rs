//! Start of the engine, changes of the settings, and inputs that set limits of the decision module.

use crate::config::{EngineConfig, RetentionLimits};
use crate::engine::Engine;
use crate::outputs::Outputs;
use asterrill::{
    Control, Idempotency, LearnedState, MethodId, RecoveryLimits, SettingsUpdate, StagedTable, Us,
};

impl<ReplyTo: Copy + Ord, Body: AsRef<[u8]>> Engine<ReplyTo, Body> {
    /// Starts the decision module and applies its first outcome, such as the credit to publish.
    pub fn start(&mut self, now: Us, out: &mut dyn Outputs<ReplyTo>) {
        self.advance_to(now);
        let outcome = self.control.start();
        self.apply(outcome, out);
    }

    /// Replaces the decision module and starts the new one. May be called only before any RPC was received.
    pub fn restart(
        &mut self, now: Us, control: Control, config: EngineConfig, out: &mut dyn Outputs<ReplyTo>,
    ) {
        self.set_limits(config.limits);
        self.coalescible_methods = StagedTable::new(config.coalescible_methods);
        self.control = control;
        self.wakeups.clear();
        self.start(now, out);
        if let Some(drain) = self.drain {
            let outcome = self.control.drain(self.now, drain.started_at, drain.deadline);
            self.apply(outcome, out);
        }
    }

    /// Stages settings alongside those in force. They have no effect until [`Engine::apply_staged`]; see
    /// [`Control::stage`].
    pub fn stage(&mut self, updates: &[SettingsUpdate]) {
        for update in updates {
            if let SettingsUpdate::Method(MethodId(index), method) = update {
                let coalescible = method.as_ref().map(|method| method.idempotency == Idempotency::Idempotent);
                self.coalescible_methods.stage(*index, coalescible);
            }
        }
        self.control.stage(updates);
    }

    /// Puts all staged settings into force at once, together with the global settings of `globals` and with `limits`,
    /// if given; see [`Control::commit`]. Cached results are removed, because they were produced under the old
    /// settings.
    pub fn apply_staged(
        &mut self, now: Us, globals: Option<Control>, limits: Option<RetentionLimits>,
        out: &mut dyn Outputs<ReplyTo>,
    ) {
        self.advance_to(now);
        self.coalescible_methods.commit();
        if let Some(limits) = limits {
            self.set_limits(limits);
        }
        self.response_cache.remove_completed();
        let outcome = self.control.commit(self.now, globals);
        self.apply(outcome, out);
    }

    fn set_limits(&mut self, limits: RetentionLimits) {
        self.idempotency.set_limits(limits.idempotency_result_bytes, limits.max_rpc_lifetime);
        self.result_ttl = limits.result_ttl;
    }

    /// Restores the state that the decision module had learned before this start.
    pub fn restore(&mut self, now: Us, learned: LearnedState, out: &mut dyn Outputs<ReplyTo>) {
        self.advance_to(now);
        let outcome = self.control.restore(self.now, learned);
        self.apply(outcome, out);
    }

    /// Sets the limits of the decision module while the server or its upstream tier recovers.
    pub fn set_recovery_limits(&mut self, now: Us, limits: RecoveryLimits, out: &mut dyn Outputs<ReplyTo>) {
        self.advance_to(now);
        let outcome = self.control.set_recovery_limits(self.now, limits);
        self.apply(outcome, out);
    }

    /// Sets this server's fraction of the quotas that the settings divide among servers; see
    /// [`Control::set_quota_fraction`].
    pub fn set_quota_fraction(&mut self, now: Us, fraction: f64, out: &mut dyn Outputs<ReplyTo>) {
        self.advance_to(now);
        let outcome = self.control.set_quota_fraction(self.now, fraction);
        self.apply(outcome, out);
    }
}
