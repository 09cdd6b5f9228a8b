//! How often a member died and came back, as a score that decays.

use asterrill::Us;

/// The score from which a member is damped: it does not count for the view.
const DAMPING_THRESHOLD: f64 = 2.5;
/// The score below which it counts again.
const RELEASE_THRESHOLD: f64 = DAMPING_THRESHOLD / 2.0;

/// A count of flaps that decays exponentially.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlapScore {
    score: f64,
    updated: Us,
}

impl FlapScore {
    pub(crate) fn new(now: Us) -> FlapScore {
        FlapScore { score: 0.0, updated: now }
    }

    /// The score now, with `window` as the time constant of its decay, in microseconds.
    fn decayed(&self, now: Us, window: Us) -> f64 {
        self.score * (-((now - self.updated) as f64) / window.max(1) as f64).exp()
    }

    /// The member is alive again; that is a flap if it had been dead.
    pub(crate) fn record(&mut self, now: Us, window: Us, was_dead: bool) {
        self.score = self.decayed(now, window) + f64::from(u8::from(was_dead));
        self.updated = now;
    }

    /// The member flaps, by the score as it was recorded last.
    pub(crate) fn exceeds_threshold(&self) -> bool {
        self.score >= DAMPING_THRESHOLD
    }

    /// A damped member is stable again.
    pub(crate) fn is_below_release_threshold(&self, now: Us, window: Us) -> bool {
        self.decayed(now, window) < RELEASE_THRESHOLD
    }
}
