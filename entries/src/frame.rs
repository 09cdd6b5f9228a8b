//! The few scalars of a version.

use crate::fault::Refused;
use crate::{Name, GAUGES, GREATEST, LONGEST, MACHINE, MEMORY, SOCKETS};
use asterrill::{Below, Say, StopMode, Us};

/// What lies below the server, as told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Tier {
    #[default]
    Off,
    /// One dependency of all servers; `call_share` and `call_window` are told.
    Shared,
    /// A tier of servers that run the same decisions.
    Tier,
}

/// What a version says besides its methods and tenants. Times in microseconds; what the platform leaves out
/// stands as its default.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// `FamilyInfo.NCores`: whole, up to a thousand million.
    pub cores: u64,
    /// `FamilyInfo.RamKb`.
    pub ram_kb: f64,
    /// `FamilyInfo.RunFactor`: memory of a running RPC over that of a held one.
    pub run_factor: f64,
    /// `FamilyInfo.KbPerKey`.
    pub kb_per_key: f64,
    /// `FamilyInfo.Below`.
    pub below: Tier,
    /// `FamilyInfo.CallShare`: calls below in hand, a mean over the window; needed where the tier is shared.
    pub call_share: Option<f64>,
    /// `FamilyInfo.DepWindowMs`; needed where the tier is shared.
    pub call_window: Option<Us>,
    /// `FamilyInfo.LingerMs`: how long an abandoned call may stay below.
    pub linger: Us,
    /// `FamilyInfo.Say`: what callers make of the number published to them.
    pub say: Say,
    /// `FamilyInfo.StopMode`.
    pub stop_mode: StopMode,
    /// `FamilyInfo.FreshMs`: how long a read's answer may serve others, 0 for never.
    pub fresh: Us,
    /// `FamilyInfo.IdleMs`: after which callers close idle connections by themselves, 0 for never.
    pub idle: Us,
    /// `FamilyInfo.Callers` known at the start.
    pub callers: u64,
    /// `FamilyInfo.Cold`: the server has only just been started.
    pub cold: bool,
    /// `FamilyInfo.Gauges`, in their order.
    pub gauges: Vec<Name>,
    /// `Safety.TipMultiple`: running RPCs a core that a warm server survives.
    pub tip: f64,
    /// `Safety.ColdFrom`: the share of its speed that a cold server opens at; needed where it is cold.
    pub cold_from: Option<f64>,
    /// `Safety.RampTimeMs`: until a cold server is warm.
    pub ramp: Us,
    /// `Safety.StopSendingWithinMs`: until callers heed a change of health.
    pub heed: Us,
    /// `Limits.RetryAfter`: callers may be told when to come back.
    pub retry_after: bool,
    /// `Limits.MaxRetryAfterMs`.
    pub max_retry_after: Us,
    /// `StepMs`: the least time between two inputs of the module.
    pub step: Us,
    /// `ReplicasOfMe`: servers of this kind in the whole fleet.
    pub replicas: u64,
    /// `OverShareWorth`: of an RPC that exceeds its tenant's share.
    pub over_share: f64,
    /// `limits.memory_mb`, 1 to 1,048,576; 0 where nobody told.
    pub memory_mb: u64,
    /// `limits.sockets`, 1 to 1,048,576; 0 where nobody told.
    pub sockets: u64,
}

/// What stands where nothing is told: no cores and no memory, which only a test or a reader starts from.
impl Default for Frame {
    fn default() -> Frame {
        Frame {
            cores: 0,
            ram_kb: 0.0,
            run_factor: 1.0,
            kb_per_key: 0.0,
            below: Tier::Off,
            call_share: None,
            call_window: None,
            linger: 0,
            say: Say::Off,
            stop_mode: StopMode::Off,
            fresh: 0,
            idle: 0,
            callers: 1,
            cold: false,
            gauges: Vec::new(),
            tip: 0.0,
            cold_from: None,
            ramp: 0,
            heed: 0,
            retry_after: false,
            max_retry_after: 0,
            step: 0,
            replicas: 1,
            over_share: 1.0,
            memory_mb: 0,
            sockets: 0,
        }
    }
}

/// Within 0 and `most`, ends included.
pub(crate) fn within(key: &'static str, value: f64, most: f64) -> Result<(), Refused> {
    if (0.0..=most).contains(&value) {
        Ok(())
    } else {
        Err(Refused::Bounds { key, value })
    }
}

pub(crate) fn time_within(key: &'static str, value: Us) -> Result<(), Refused> {
    // A time is told in milliseconds.
    if value <= LONGEST {
        Ok(())
    } else {
        Err(Refused::Bounds { key, value: value as f64 / 1e3 })
    }
}

impl Frame {
    /// What lies below, for the module.
    ///
    /// # Errors
    /// [`Refused::Field`] where the tier is shared and its share or window was not told.
    pub fn below(&self) -> Result<Below, Refused> {
        Ok(match self.below {
            Tier::Off => Below::Nothing,
            Tier::Tier => Below::Tier,
            Tier::Shared => Below::Shared {
                share: self.call_share.ok_or(Refused::Field("CallShare"))?,
                window: self.call_window.ok_or(Refused::Field("DepWindowMs"))?,
            },
        })
    }

    /// The share of its speed that a cold server opens at; 1 for one that starts warm.
    ///
    /// # Errors
    /// [`Refused::Field`] where it is cold and that was not told.
    pub fn opens_at(&self, cold: bool) -> Result<f64, Refused> {
        if !cold {
            return Ok(1.0);
        }
        Ok(self.cold_from.ok_or(Refused::Field("ColdFrom"))?.min(1.0))
    }

    /// What a version's frame must hold.
    ///
    /// # Errors
    /// [`Refused`] names the field that is out of bounds, or needed and not told.
    pub fn check(&self) -> Result<(), Refused> {
        let rates = [
            ("NCores", self.cores as f64),
            ("RunFactor", self.run_factor),
            ("KbPerKey", self.kb_per_key),
            ("CallShare", self.call_share.unwrap_or(0.0)),
            ("Callers", self.callers as f64),
            ("TipMultiple", self.tip),
            ("ColdFrom", self.cold_from.unwrap_or(0.0)),
            ("ReplicasOfMe", self.replicas as f64),
            ("OverShareWorth", self.over_share),
        ];
        rates.into_iter().try_for_each(|(key, value)| within(key, value, GREATEST))?;
        within("RamKb", self.ram_kb, f64::MAX)?;
        let machine = [(MEMORY, self.memory_mb), (SOCKETS, self.sockets)];
        machine.into_iter().try_for_each(|(key, value)| within(key, value as f64, MACHINE))?;
        let times = [
            ("DepWindowMs", self.call_window.unwrap_or(0)),
            ("LingerMs", self.linger),
            ("FreshMs", self.fresh),
            ("IdleMs", self.idle),
            ("RampTimeMs", self.ramp),
            ("StopSendingWithinMs", self.heed),
            ("MaxRetryAfterMs", self.max_retry_after),
            ("StepMs", self.step),
        ];
        times.into_iter().try_for_each(|(key, value)| time_within(key, value))?;
        if self.gauges.len() > GAUGES {
            return Err(Refused::Many { list: "Gauges", bound: "GAUGES", most: GAUGES });
        }
        self.below()?;
        self.opens_at(self.cold).map(drop)
    }
}
