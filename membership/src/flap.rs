//! Flap score: how often a member died and returned, with exponential decay.

use asterrill::Us;

/// Score from which a member is damped, that is, does not count for the view.
const DAMPING_THRESHOLD: f64 = 2.5;
/// Score below which a damped member counts again.
const RELEASE_THRESHOLD: f64 = DAMPING_THRESHOLD / 2.0;

/// Exponentially decaying count of flaps.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlapScore {
    score: f64,
    updated: Us,
}

impl FlapScore {
    pub(crate) fn new(now: Us) -> FlapScore {
        FlapScore { score: 0.0, updated: now }
    }

    /// Returns the score at the time `now`. `window` is the time constant of the decay in microseconds.
    fn decayed(&self, now: Us, window: Us) -> f64 {
        self.score * (-((now - self.updated) as f64) / window.max(1) as f64).exp()
    }

    /// Records that the member is alive again, which counts as a flap if it was dead.
    pub(crate) fn record(&mut self, now: Us, window: Us, was_dead: bool) {
        self.score = self.decayed(now, window) + f64::from(u8::from(was_dead));
        self.updated = now;
    }

    /// Reports whether the last recorded score reaches the damping threshold.
    pub(crate) fn reaches_damping_threshold(&self) -> bool {
        self.score >= DAMPING_THRESHOLD
    }

    /// Reports whether the score has decayed so far that a damped member is stable again.
    pub(crate) fn is_below_release_threshold(&self, now: Us, window: Us) -> bool {
        self.decayed(now, window) < RELEASE_THRESHOLD
    }
}
