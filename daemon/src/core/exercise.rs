//! Exercises of the agent, the self-tests for which thorough health checks wait.

use crate::ids::SidecarStream;
use asterrill::Us;

/// Exercise of the agent, with the health checks that wait for it.
#[derive(Default)]
pub(super) struct Exercise {
    /// The streams on which the checks arrived.
    pub(super) waiting: Vec<SidecarStream>,
    /// The tag of the exercise.
    pub(super) tag: u64,
    /// The time at which the checks are answered as failed.
    pub(super) deadline: Us,
}

impl Exercise {
    /// Reports whether an exercise is in progress.
    pub(super) fn is_running(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the deadline of the exercise, if one is in progress.
    pub(super) fn next_deadline(&self) -> Option<Us> {
        Some(self.deadline).filter(|_| self.is_running())
    }
}
