//! What was read and served of each method, for the watch over a change of the configuration. A look costs what was
//! asked for since the last one, whatever the number of methods.

use asterrill::{MethodId, Us};
use asterrill_engine::Served;
use asterrill_entries::Name;
use asterrill_rollout::{MethodCounts, MethodLoad, ObservedLoad, ServiceSample};

const HALF: Us = 30_000_000; // of the minute that is looked back on

/// Of one method.
#[derive(Clone, Copy, Debug, Default)]
struct Of {
    target: Us,
    /// By which it is judged while a change is watched: that of the version before.
    judged: Us,
    read: u64,
    answered: u64,
    in_time: u64,
    upstream_failed: u64,
    /// Read in this half of the minute, and in the one before.
    minute: (u64, u64),
    /// It is among those that were touched since the last look, and among those read in the minute.
    touched: bool,
    recent: bool,
}

/// Of all methods, by their places.
pub struct ServiceStats {
    of: Vec<Of>,
    /// The places that were read or answered since the last look.
    touched: Vec<usize>,
    /// The places of which something was read in the minute.
    recent: Vec<usize>,
    half: Us,
    start: Us,
}

impl ServiceStats {
    pub fn new(now: Us, targets: Vec<Us>) -> ServiceStats {
        let of = |target| Of { target, judged: target, ..Of::default() };
        let of = targets.into_iter().map(of).collect();
        ServiceStats { of, touched: Vec::new(), recent: Vec::new(), half: now, start: now }
    }
    /// The target of a method of a version that comes into force.
    pub fn target(&mut self, place: usize, target: Us) {
        if place >= self.of.len() {
            self.of.resize(place + 1, Of { target, judged: target, ..Of::default() });
        }
        self.of.get_mut(place).into_iter().for_each(|of| of.target = target);
    }
    pub fn settled(&mut self) {
        self.of.iter_mut().for_each(|of| of.judged = of.target);
    }
    pub fn read(&mut self, method: MethodId) {
        let Some(of) = self.of.get_mut(method.0) else { return };
        of.read += 1;
        of.minute.0 += 1;
        if !std::mem::replace(&mut of.touched, true) {
            self.touched.push(method.0);
        }
        if !std::mem::replace(&mut of.recent, true) {
            self.recent.push(method.0);
        }
    }
    pub fn answered(&mut self, served: Served, ok: bool) {
        let Some(of) = self.of.get_mut(served.method.0) else { return };
        let in_time = ok && served.latency <= of.judged;
        of.answered += 1;
        of.in_time += u64::from(in_time);
        of.upstream_failed += u64::from(!in_time && served.upstream_failed);
        if !std::mem::replace(&mut of.touched, true) {
            self.touched.push(served.method.0);
        }
    }
    /// What came since the last time.
    pub fn take(
        &mut self, name: impl Fn(MethodId) -> Option<Name>, cost: impl Fn(MethodId) -> f64,
    ) -> ServiceSample {
        let mut sample = ServiceSample::default();
        for place in self.touched.drain(..) {
            let Some(of) = self.of.get_mut(place) else { continue };
            let counted = MethodCounts {
                answered: of.answered as f64,
                in_time: of.in_time as f64,
                upstream_failed: of.upstream_failed as f64,
                work_us: of.read as f64 * cost(MethodId(place)),
            };
            (of.read, of.answered, of.in_time, of.upstream_failed, of.touched) = (0, 0, 0, 0, false);
            sample.methods.extend(name(MethodId(place)).map(|name| (name, counted)));
        }
        sample
    }
    /// Lets the minute go on.
    pub fn pass(&mut self, now: Us) {
        if now >= self.half.saturating_add(HALF) {
            self.half = now;
            let of = &mut self.of;
            self.recent.retain(|place| {
                let Some(of) = of.get_mut(*place) else { return false };
                of.minute = (0, of.minute.0);
                of.recent = of.minute.1 > 0;
                of.recent
            });
        }
    }
    /// What was read in the last minute.
    pub fn seen(
        &self, now: Us, name: impl Fn(MethodId) -> Option<Name>, cost: impl Fn(MethodId) -> f64,
    ) -> ObservedLoad {
        let entry = |place: &usize| {
            let of = self.of.get(*place)?;
            let count = (of.minute.0 + of.minute.1) as f64;
            Some((
                name(MethodId(*place))?,
                MethodLoad { requests: count, mean_work_us: cost(MethodId(*place)) },
            ))
        };
        let span = now.saturating_sub(self.half.saturating_sub(HALF).max(self.start));
        let methods = self.recent.iter().filter_map(entry).collect();
        ObservedLoad { methods, seconds: span as f64 / 1e6, ..ObservedLoad::default() }
    }
}
