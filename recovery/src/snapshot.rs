//! What a server has learned, as text, and how old such a text is.

use crate::checksummed::{open, seal, SealFault};
use asterrill::Us;
use std::fmt::Write as _;

/// Methods, and callers' accounts, in a snapshot at the most.
pub const METHODS: usize = 1024;
/// The accounts heard last are kept.
pub const ACCOUNTS: usize = 1000;
/// Tenants in a snapshot at the most.
pub const TENANTS: usize = 1024;
const KIND: &str = "learned";
const FORMAT: u32 = 1;
const NAME: usize = 256; // bytes of a name: longer ones are left out

/// A moment by three clocks, so that an age can be told although one was set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// The system's Unix clock, in microseconds; it may be set at any time.
    pub wall: Us,
    /// Since the machine was started, in microseconds.
    pub up: Us,
    /// Which start of the machine that was; 0 where it is not told.
    pub boot: u64,
}

/// How long ago `then` was, in microseconds; none where that can't be trusted.
///
/// Within one start of the machine its uptime tells, whatever became of the Unix clock. Across starts the Unix clock
/// has to: it must not lie before `then`, and at least as much time has passed as the machine is up now.
pub fn age(now: &Moment, then: &Moment) -> Option<Us> {
    if now.boot == 0 || then.boot == 0 {
        return None;
    }
    if now.boot == then.boot {
        return now.up.checked_sub(then.up);
    }
    now.wall.checked_sub(then.wall).filter(|age| *age >= now.up)
}

/// What is kept of one method.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    pub name: String,
    /// Its latency target when that was learned, in microseconds.
    pub target: Us,
    /// What serving an RPC takes, in microseconds.
    pub mean: f64,
    /// Runs that this rests on.
    pub runs: f64,
}

/// What a server has learned by serving.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learned {
    /// The backend's name.
    pub name: String,
    /// The hash of the settings in force.
    pub settings: u64,
    pub cores: f64,
    pub memory_mb: u64,
    pub moment: Moment,
    pub methods: Vec<Kept>,
    /// RPCs that run at a time.
    pub target: f64,
    /// Serving times over what is learned.
    pub pace: f64,
    /// Calls below that failed in a row.
    pub failures: u32,
    /// Of callers, the share of its account that each had, 0 to 1.
    pub accounts: Vec<(u64, f64)>,
    /// Of tenants, by name, the RPCs by which each may still exceed its share.
    pub tenants: Vec<(String, f64)>,
}

/// Why a snapshot can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LearnedFault {
    #[error(transparent)]
    Seal(#[from] SealFault),
    /// The checksum holds, and yet a line is none that this program writes.
    #[error("its line {0} is odd")]
    Odd(usize),
}

/// Names go to the end of their line; what would break it is left out.
fn fits(name: &str) -> bool {
    name.len() <= NAME && !name.chars().any(char::is_control)
}

impl Learned {
    /// As text, sealed: at most 1,024 methods and tenants and 1,000 accounts, so some 400 kB.
    pub fn write(&self) -> String {
        let Moment { wall, up, boot } = self.moment;
        let mut body = format!("moment {wall} {up} {boot:016x}\nsettings {:016x}\n", self.settings);
        let mut line = |text: std::fmt::Arguments<'_>| {
            body.write_fmt(text).unwrap_or_default();
            body.push('\n');
        };
        line(format_args!("machine {} {}", self.cores, self.memory_mb));
        line(format_args!("target {}", self.target));
        line(format_args!("pace {}", self.pace));
        line(format_args!("failures {}", self.failures));
        for kept in self.methods.iter().filter(|kept| fits(&kept.name)).take(METHODS) {
            line(format_args!("method {} {:.3} {:.3} {}", kept.target, kept.mean, kept.runs, kept.name));
        }
        for (caller, share) in self.accounts.iter().take(ACCOUNTS) {
            line(format_args!("account {caller} {share:.4}"));
        }
        for (name, room) in self.tenants.iter().filter(|(name, _)| fits(name)).take(TENANTS) {
            line(format_args!("tenant {room:.3} {name}"));
        }
        line(format_args!("name {}", if fits(&self.name) { &self.name } else { "" }));
        seal(KIND, FORMAT, &body)
    }

    /// Reads a sealed text.
    ///
    /// # Errors
    /// [`LearnedFault`]; nothing of such a text is used. Numbers that are negative, endless or none are odd.
    pub fn read(sealed: &str) -> Result<Learned, LearnedFault> {
        let body = open(KIND, FORMAT, sealed)?;
        let mut learned = Learned::default();
        for (i, line) in body.lines().enumerate() {
            learned.take(line).ok_or(LearnedFault::Odd(i + 1))?;
        }
        let fine = learned.methods.len() <= METHODS && learned.accounts.len() <= ACCOUNTS;
        if fine && learned.tenants.len() <= TENANTS {
            Ok(learned)
        } else {
            Err(LearnedFault::Odd(0))
        }
    }

    fn take(&mut self, line: &str) -> Option<()> {
        let (what, rest) = line.split_once(' ')?;
        let mut words = rest.split(' ');
        let mut word = || words.next();
        match what {
            "moment" => {
                let (wall, up) = (word()?.parse().ok()?, word()?.parse().ok()?);
                self.moment = Moment { wall, up, boot: u64::from_str_radix(word()?, 16).ok()? };
            }
            "settings" => self.settings = u64::from_str_radix(word()?, 16).ok()?,
            "machine" => (self.cores, self.memory_mb) = (positive(word()?)?, word()?.parse().ok()?),
            "target" => self.target = positive(word()?)?,
            "pace" => self.pace = positive(word()?)?,
            "failures" => self.failures = word()?.parse().ok()?,
            "method" => {
                let (target, mean, runs) = (word()?.parse().ok()?, positive(word()?)?, positive(word()?)?);
                let name = rest.splitn(4, ' ').nth(3)?.to_string();
                self.methods.push(Kept { name, target, mean, runs });
            }
            "account" => {
                let (caller, share) = (word()?.parse().ok()?, positive(word()?)?);
                self.accounts.push((caller, Some(share).filter(|share| *share <= 1.0)?));
            }
            "tenant" => {
                let room = positive(word()?)?;
                self.tenants.push((rest.split_once(' ')?.1.to_string(), room));
            }
            "name" => self.name = rest.to_string(),
            _ => return None,
        }
        Some(())
    }
}

fn positive(word: &str) -> Option<f64> {
    word.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
}
