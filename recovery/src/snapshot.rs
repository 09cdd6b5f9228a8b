//! What a server has learned, as text.
//!
//! A checksummed text of kind `learned`, format 1, with one line for each value: `moment WALL UPTIME BOOT`,
//! `settings HASH`, `machine CORES MEMORY_MB`, `target N`, `pace N`, `failures N`, `method TARGET MEAN RUNS NAME`,
//! `account CALLER FRACTION`, `tenant RPCS NAME`, `name NAME`.

use crate::checksummed::{decode_checksummed, encode_checksummed, ChecksumError};
use crate::clock::ClockReading;
use asterrill::Us;
use std::fmt::{Arguments, Write as _};

/// Methods in a snapshot at the most.
pub const MAX_METHODS: usize = 1024;
/// Callers' accounts in a snapshot at the most: those heard last.
pub const MAX_ACCOUNTS: usize = 1000;
/// Tenants in a snapshot at the most.
pub const MAX_TENANTS: usize = 1024;

const KIND: &str = "learned";
const FORMAT: u32 = 1;
/// Bytes of a name; longer ones are left out.
const MAX_NAME_BYTES: usize = 256;

/// What was learned of one method.
#[derive(Clone, Debug, PartialEq)]
pub struct MethodCost {
    /// The method.
    pub name: String,
    /// Its latency target when that was learned, in microseconds.
    pub latency_target: Us,
    /// What serving an RPC takes, in microseconds.
    pub mean: f64,
    /// Runs on which that rests.
    pub runs: f64,
}

/// What a caller has left of its account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountBalance {
    /// The caller's number.
    pub caller: u64,
    /// The fraction of a full account, 0 to 1.
    pub fraction: f64,
}

/// What a tenant may still send beyond its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantAllowance {
    /// The tenant.
    pub name: String,
    /// RPCs by which it may still exceed its quota.
    pub rpcs: f64,
}

/// What a server has learned by serving.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The backend's name.
    pub name: String,
    /// The hash of the settings in force.
    pub settings_hash: u64,
    /// Cores of the machine.
    pub cores: f64,
    /// Memory of the machine, in MB.
    pub memory_mb: u64,
    /// When the snapshot was taken.
    pub taken_at: ClockReading,
    /// What was learned of methods.
    pub methods: Vec<MethodCost>,
    /// RPCs that run at a time; 0 if that was not learned.
    pub concurrency_target: f64,
    /// Serving times over those that are learned; 0 if that was not learned.
    pub slowdown: f64,
    /// Upstream calls that failed in a row.
    pub call_failures: u32,
    /// Accounts of callers, the one heard last first.
    pub accounts: Vec<AccountBalance>,
    /// Allowances of tenants.
    pub tenants: Vec<TenantAllowance>,
}

/// Why a snapshot can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// It is no checksummed text of this kind and format.
    #[error(transparent)]
    Checksum(#[from] ChecksumError),
    /// The checksum holds, and yet the line with this number, from 1, is none that this program writes.
    #[error("line {0} is not valid")]
    InvalidLine(usize),
    /// It has more methods, accounts or tenants than this program writes.
    #[error("it has too many methods, accounts or tenants")]
    TooManyEntries,
}

impl Snapshot {
    /// As checksummed text: at most 1,024 methods and tenants and 1,000 accounts, so some 400 kB. Names that would break
    /// their line are left out.
    pub fn to_text(&self) -> String {
        let ClockReading { wall, uptime, boot_id } = self.taken_at;
        let mut body = format!("moment {wall} {uptime} {boot_id:016x}\n");
        let mut line = |text: Arguments<'_>| {
            body.write_fmt(text).unwrap_or_default();
            body.push('\n');
        };
        line(format_args!("settings {:016x}", self.settings_hash));
        line(format_args!("machine {} {}", self.cores, self.memory_mb));
        line(format_args!("target {}", self.concurrency_target));
        line(format_args!("pace {}", self.slowdown));
        line(format_args!("failures {}", self.call_failures));
        let methods = self.methods.iter().filter(|method| is_valid_name(&method.name));
        for MethodCost { name, latency_target, mean, runs } in methods.take(MAX_METHODS) {
            line(format_args!("method {latency_target} {mean:.3} {runs:.3} {name}"));
        }
        for AccountBalance { caller, fraction } in self.accounts.iter().take(MAX_ACCOUNTS) {
            line(format_args!("account {caller} {fraction:.4}"));
        }
        let tenants = self.tenants.iter().filter(|tenant| is_valid_name(&tenant.name));
        for TenantAllowance { name, rpcs } in tenants.take(MAX_TENANTS) {
            line(format_args!("tenant {rpcs:.3} {name}"));
        }
        line(format_args!("name {}", if is_valid_name(&self.name) { &self.name } else { "" }));
        encode_checksummed(KIND, FORMAT, &body)
    }

    /// Reads a text that [`Snapshot::to_text`] wrote, as a whole or not at all.
    ///
    /// # Errors
    /// [`SnapshotError`]. A number that is negative, infinite or not a number makes its line invalid.
    pub fn from_text(text: &str) -> Result<Snapshot, SnapshotError> {
        let body = decode_checksummed(KIND, FORMAT, text)?;
        let mut snapshot = Snapshot::default();
        for (i, line) in body.lines().enumerate() {
            snapshot.read_line(line).ok_or(SnapshotError::InvalidLine(i + 1))?;
        }
        let is_bounded = snapshot.methods.len() <= MAX_METHODS
            && snapshot.accounts.len() <= MAX_ACCOUNTS
            && snapshot.tenants.len() <= MAX_TENANTS;
        if is_bounded {
            Ok(snapshot)
        } else {
            Err(SnapshotError::TooManyEntries)
        }
    }

    fn read_line(&mut self, line: &str) -> Option<()> {
        let (key, values) = line.split_once(' ')?;
        let mut words = values.split(' ');
        let mut word = || words.next();
        match key {
            "moment" => {
                let (wall, uptime) = (word()?.parse().ok()?, word()?.parse().ok()?);
                self.taken_at = ClockReading { wall, uptime, boot_id: parse_hash(word()?)? };
            }
            "settings" => self.settings_hash = parse_hash(word()?)?,
            "machine" => {
                self.cores = parse_figure(word()?)?;
                self.memory_mb = word()?.parse().ok()?;
            }
            "target" => self.concurrency_target = parse_figure(word()?)?,
            "pace" => self.slowdown = parse_figure(word()?)?,
            "failures" => self.call_failures = word()?.parse().ok()?,
            "method" => self.methods.push(parse_method(values)?),
            "account" => self.accounts.push(parse_account(values)?),
            "tenant" => self.tenants.push(parse_tenant(values)?),
            "name" => self.name = values.to_string(),
            _ => return None,
        }
        Some(())
    }
}

/// Names go to the end of their line, so they may contain spaces.
fn is_valid_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES && !name.chars().any(char::is_control)
}

fn parse_method(values: &str) -> Option<MethodCost> {
    let mut words = values.splitn(4, ' ');
    Some(MethodCost {
        latency_target: words.next()?.parse().ok()?,
        mean: parse_figure(words.next()?)?,
        runs: parse_figure(words.next()?)?,
        name: words.next()?.to_string(),
    })
}

fn parse_account(values: &str) -> Option<AccountBalance> {
    let mut words = values.split(' ');
    let caller = words.next()?.parse().ok()?;
    let fraction = parse_figure(words.next()?).filter(|fraction| *fraction <= 1.0)?;
    Some(AccountBalance { caller, fraction })
}

fn parse_tenant(values: &str) -> Option<TenantAllowance> {
    let (rpcs, name) = values.split_once(' ')?;
    Some(TenantAllowance { rpcs: parse_figure(rpcs)?, name: name.to_string() })
}

fn parse_hash(word: &str) -> Option<u64> {
    u64::from_str_radix(word, 16).ok()
}

/// A figure that is finite and not negative.
fn parse_figure(word: &str) -> Option<f64> {
    word.parse().ok().filter(|figure: &f64| figure.is_finite() && *figure >= 0.0)
}
