//! Start, timers and graceful shutdown.

use super::state::Core;
use crate::outbound::Outbound;
use crate::queues::QueueConsumers;
use crate::recovery::RecoveryTracker;
use asterrill::Us;

/// Time reserved for writing pending answers before the process is killed, in microseconds.
const FLUSH_TIME_US: Us = 100_000;

impl Core {
    /// Starts the engine. Its decision module determines the initial figures that are published to callers.
    pub fn start(&mut self, now: Us, outbound: &mut dyn Outbound) {
        self.with_engine(now, outbound, |engine, now, outputs| engine.start(now, outputs));
    }

    /// Begins the graceful shutdown: the process is killed after `grace` microseconds.
    pub fn drain(&mut self, now: Us, grace: Us, outbound: &mut dyn Outbound) {
        if std::mem::replace(&mut self.state.draining, true) {
            return;
        }
        outbound.set_serving(false);
        let answer_time = grace.saturating_sub(FLUSH_TIME_US);
        self.with_engine(now, outbound, |engine, now, outputs| {
            if let Some(queues) = &mut outputs.state.queues {
                queues.drain(now);
            }
            engine.drain(now, now + answer_time, outputs);
        });
    }

    /// Reports whether the graceful shutdown is complete and no answer is pending.
    pub fn is_drained(&self) -> bool {
        self.engine.is_drained()
    }

    /// Returns the time at which [`Core::tick`] is due next.
    pub fn next_deadline(&self) -> Option<Us> {
        let deadlines = [
            self.engine.next_timer(),
            self.state.exercise.next_deadline(),
            self.state.queues.as_ref().and_then(QueueConsumers::next_deadline),
            self.state.agent.next_deadline(),
            self.state.recovery.as_ref().map(RecoveryTracker::next_update),
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Processes all timers that are due.
    pub fn tick(&mut self, now: Us, outbound: &mut dyn Outbound) {
        self.now = self.engine.advance_to(now);
        self.expire_exercise(outbound);
        self.check_agent_silence(outbound);
        self.recover_overdue_commands(outbound);
        let broker = self.with_engine(now, outbound, |engine, now, outputs| {
            engine.tick(now, outputs);
            let credit = engine.credit();
            let can_run = outputs.state.first_greeting_at.is_some();
            match outputs.state.queues.as_mut().filter(|queues| queues.is_due(now)) {
                Some(queues) => queues.tick(now, credit, can_run),
                None => Ok(()),
            }
        });
        self.close_failed_broker(broker, true, outbound);
        self.update_recovery(self.now, outbound);
    }
}
