//! The exercise of the agent that thorough health checks wait for.

use crate::ids::SidecarStream;
use asterrill::Us;

/// Health checks that wait for the same exercise of the agent.
#[derive(Default)]
pub(super) struct Exercise {
    /// Where the checks came from.
    pub(super) waiting: Vec<SidecarStream>,
    /// The number of the exercise.
    pub(super) tag: u64,
    /// When the checks are answered at the latest.
    pub(super) deadline: Us,
}

impl Exercise {
    /// An exercise is under way.
    pub(super) fn is_running(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// When it is over at the latest, if one is under way.
    pub(super) fn next_deadline(&self) -> Option<Us> {
        Some(self.deadline).filter(|_| self.is_running())
    }
}
