//! Health checks of sidecars. Shallow ones are answered at once, thorough ones wait for an exercise of the agent.

use super::state::Core;
use crate::ids::SidecarStream;
use crate::outbound::Outbound;
use asterrill::Us;

/// Time within which a thorough health check is answered, in microseconds.
const EXERCISE_TIMEOUT_US: Us = 200_000;
/// Maximum number of thorough health checks that wait at the same time; more are answered like shallow ones.
const MAX_WAITING_CHECKS: usize = 64;

impl Core {
    /// Handles a health check. Thorough checks wait for an exercise of the agent; all waiting checks share one.
    pub fn health_check(
        &mut self, now: Us, from: SidecarStream, thorough: bool, outbound: &mut dyn Outbound,
    ) {
        self.now = self.engine.advance_to(now);
        let state = &mut self.state;
        state.stats.health_checks += 1;
        let can_exercise = state.healthy && state.first_greeting_at.is_some();
        if !thorough || !can_exercise || state.exercise.waiting.len() >= MAX_WAITING_CHECKS {
            return outbound.answer_health_check(from, state.healthy, self.engine.credit());
        }
        state.stats.thorough_checks += 1;
        if !state.exercise.is_running() {
            state.exercise.tag = state.agent.next_tag(self.now);
            state.exercise.deadline = self.now + EXERCISE_TIMEOUT_US;
            outbound.request_exercise(state.exercise.tag);
        }
        state.exercise.waiting.push(from);
    }

    /// Handles the result of an exercise of the agent.
    pub fn exercise_finished(&mut self, now: Us, tag: u64, passed: bool, outbound: &mut dyn Outbound) {
        self.now = self.engine.advance_to(now);
        self.state.agent.message_received();
        if tag == self.state.exercise.tag {
            self.answer_health_checks(passed, outbound);
        }
    }

    /// Answers the waiting checks as failed once the deadline of the exercise has passed.
    pub(super) fn expire_exercise(&mut self, outbound: &mut dyn Outbound) {
        if self.state.exercise.next_deadline().is_some_and(|deadline| deadline <= self.now) {
            self.answer_health_checks(false, outbound);
        }
    }

    fn answer_health_checks(&mut self, passed: bool, outbound: &mut dyn Outbound) {
        let healthy = passed && self.state.healthy;
        for stream in std::mem::take(&mut self.state.exercise.waiting) {
            outbound.answer_health_check(stream, healthy, self.engine.credit());
        }
    }
}
