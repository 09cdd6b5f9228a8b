//! How many deliveries may be out at a time.
//!
//! The number published to callers says what each may have outstanding here; a queue is one caller, so that is
//! its window, where it is published as such: twice that, as some of what is out is on the line. Elsewhere it is
//! taken to be so many to a core. It is cut to what memory has
//! room for and, while deliveries that were pushed back wait here, to half of what is out: what waits is out as
//! well, and more of it would only wait too.
//!
//! A change of the window costs a cancel and a new subscription, as brokers differ in whether a new prefetch
//! binds a consumer that stands. So it moves in doublings, up at most once a second, down at once. At none the
//! subscription is cancelled; it comes back after a second at the earliest. That guards against storms of
//! subscriptions while the credit goes up and down; the harm is that a server that has just become free is
//! given work a second late.

use asterrill::Us;

const RISE: Us = 1_000_000; // at the least between a change and the next rise
const FALL: Us = 200_000; // at the least between a change and the next fall, but for one to none
const PER_CORE: f64 = 2.0; // taken for the credit, for each core, where none is published
const AHEAD: f64 = 2.0; // deliveries out over the credit: some are on the line, to us or settled
const LEAST: f64 = 0.02; // a credit below it is none; one below 1 still lets one delivery out
const HELD: f64 = 0.5; // of what is out, the share that may wait pushed back before the window falls

/// What the window is decided from.
#[derive(Clone, Copy, Debug)]
pub struct Signs {
    /// RPCs that each caller may have outstanding here, where that is published.
    pub credit: Option<f64>,
    pub cores: f64,
    /// Deliveries for which there is memory.
    pub room: f64,
    /// Deliveries out now, and those of them that wait after a pushback.
    pub out: usize,
    pub waiting: usize,
}

/// The number of deliveries that may be out at a time; 0 while nothing is to be delivered.
#[derive(Clone, Debug)]
pub struct Window {
    most: u16,
    now: u16,
    changed: Us,
}

impl Window {
    /// `most`: what the operators allow, 1 or more. It begins with none.
    pub fn new(now: Us, most: u16) -> Window {
        Window { most: most.max(1), now: 0, changed: now.saturating_sub(RISE) }
    }
    /// Another bound from now on.
    pub fn bound(&mut self, most: u16) {
        self.most = most.max(1);
    }
    pub fn get(&self) -> u16 {
        self.now
    }

    /// What there should be, before it is made to move slowly.
    fn wanted(&self, signs: Signs) -> u16 {
        let credit = signs.credit.unwrap_or(PER_CORE * signs.cores);
        if credit < LEAST {
            return 0;
        }
        let bound = (AHEAD * credit).max(1.0).min(signs.room).min(self.most.into());
        let held = signs.waiting as f64 > HELD * signs.out as f64;
        let bound = if held { bound.min((f64::from(self.now) / 2.0).max(1.0)) } else { bound };
        if bound >= 1.0 {
            1 << (bound as u16).ilog2()
        } else {
            0
        }
    }

    /// Moves it; true if it has changed.
    pub fn decide(&mut self, now: Us, signs: Signs) -> bool {
        let (wanted, passed) = (self.wanted(signs), now.saturating_sub(self.changed));
        let next = match wanted {
            0 => 0,
            up if up > self.now && passed >= RISE => up.min((self.now * 2).max(1)),
            down if down < self.now && passed >= FALL => down,
            _ => self.now,
        };
        let changed = next != self.now;
        if changed {
            (self.now, self.changed) = (next, now);
        }
        changed
    }
}
