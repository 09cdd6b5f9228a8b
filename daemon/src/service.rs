//! What was read and served of each method, for the watch over a change of the configuration.

use asterrill::{MethodId, Us};
use asterrill_engine::Served;
use asterrill_rollout::{Counted, Sample, Seen};

const HALF: Us = 30_000_000; // of the minute that is looked back on

/// Of one method.
#[derive(Clone, Copy, Debug, Default)]
struct Of {
    target: Us,
    /// By which it is judged while a change is watched: that of the version before.
    judged: Us,
    read: u64,
    asked: u64,
    in_time: u64,
    spoilt: u64,
    /// Read in this half of the minute, and in the one before.
    minute: (u64, u64),
}

/// Of all methods, by their places.
pub struct Service {
    of: Vec<Of>,
    half: Us,
    start: Us,
}

impl Service {
    pub fn new(now: Us, targets: Vec<Us>) -> Service {
        let of = |target| Of { target, judged: target, ..Of::default() };
        Service { of: targets.into_iter().map(of).collect(), half: now, start: now }
    }
    /// The target of a method of a version that comes into force.
    pub fn target(&mut self, place: usize, target: Us) {
        if place >= self.of.len() {
            self.of.resize(place + 1, Of { target, judged: target, ..Of::default() });
        }
        self.of[place].target = target;
    }
    pub fn settled(&mut self) {
        self.of.iter_mut().for_each(|of| of.judged = of.target);
    }
    pub fn read(&mut self, method: MethodId) {
        if let Some(of) = self.of.get_mut(method.0) {
            of.read += 1;
            of.minute.0 += 1;
        }
    }
    pub fn answered(&mut self, served: Served, ok: bool) {
        let Some(of) = self.of.get_mut(served.method.0) else { return };
        let in_time = ok && served.took <= of.judged;
        of.asked += 1;
        of.in_time += u64::from(in_time);
        of.spoilt += u64::from(!in_time && served.spoilt);
    }
    /// What came since the last time.
    pub fn take(&mut self, names: &[String], cost: impl Fn(MethodId) -> f64) -> Sample {
        let mut sample = Sample::default();
        for (place, of) in self.of.iter_mut().enumerate().filter(|(_, of)| of.read > 0 || of.asked > 0) {
            let counted = Counted {
                asked: of.asked as f64,
                in_time: of.in_time as f64,
                spoilt: of.spoilt as f64,
                work: of.read as f64 * cost(MethodId(place)),
            };
            (of.read, of.asked, of.in_time, of.spoilt) = (0, 0, 0, 0);
            sample.methods.extend(names.get(place).map(|name| (name.clone(), counted)));
        }
        sample
    }
    /// Lets the minute go on.
    pub fn pass(&mut self, now: Us) {
        if now >= self.half.saturating_add(HALF) {
            self.half = now;
            self.of.iter_mut().for_each(|of| of.minute = (0, of.minute.0));
        }
    }
    /// What was read in the last minute.
    pub fn seen(&self, now: Us, names: &[String], cost: impl Fn(MethodId) -> f64) -> Seen {
        let count = |of: &Of| (of.minute.0 + of.minute.1) as f64;
        let named = self.of.iter().enumerate().filter(|(_, of)| count(of) > 0.0);
        let entry =
            |(place, of): (usize, &Of)| Some((names.get(place)?.clone(), (count(of), cost(MethodId(place)))));
        let span = now.saturating_sub(self.half.saturating_sub(HALF).max(self.start));
        Seen { methods: named.filter_map(entry).collect(), seconds: span as f64 / 1e6, ..Seen::default() }
    }
}
