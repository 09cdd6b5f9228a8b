//! Snapshot of the state that a server has learned, and its text format.
//!
//! The text is a checksummed text of kind `learned`, format 1, with one line for each value: `moment WALL UPTIME BOOT`,
//! `settings HASH`, `machine CORES MEMORY_MB`, `target N`, `pace N`, `failures N`, `method TARGET MEAN RUNS NAME`,
//! `account CALLER FRACTION`, `tenant RPCS NAME`, `name NAME`.

use crate::checksummed::{decode_checksummed, encode_checksummed, ChecksumError};
use crate::clock::ClockReading;
use asterrill::Us;
use std::fmt::{Arguments, Write as _};

/// Maximum number of methods in a snapshot.
pub const MAX_METHODS: usize = 1024;
/// Maximum number of callers' accounts in a snapshot. The most recently active ones are kept.
pub const MAX_ACCOUNTS: usize = 1000;
/// Maximum number of tenants in a snapshot.
pub const MAX_TENANTS: usize = 1024;

const KIND: &str = "learned";
const FORMAT: u32 = 1;
/// Maximum length of a name. Longer names are not stored.
const MAX_NAME_BYTES: usize = 256;

/// Learned cost of one method.
#[derive(Clone, Debug, PartialEq)]
pub struct MethodCost {
    /// Name of the method.
    pub name: String,
    /// Latency target of the method at the time of the snapshot, in microseconds.
    pub latency_target: Us,
    /// Mean time to serve an RPC, in microseconds.
    pub mean: f64,
    /// Number of runs on which the mean is based.
    pub runs: f64,
}

/// Balance of a caller's account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountBalance {
    /// Number of the caller.
    pub caller: u64,
    /// Balance as a fraction of a full account, 0 to 1.
    pub fraction: f64,
}

/// Remaining allowance of a tenant beyond its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantAllowance {
    /// Name of the tenant.
    pub name: String,
    /// Number of RPCs by which the tenant may still exceed its quota.
    pub rpcs: f64,
}

/// State that a server has learned while serving.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Name of the backend.
    pub name: String,
    /// Hash of the settings in force.
    pub settings_hash: u64,
    /// Number of cores of the machine.
    pub cores: f64,
    /// Memory of the machine, in MB.
    pub memory_mb: u64,
    /// Clock readings at the time of the snapshot.
    pub taken_at: ClockReading,
    /// Costs of the methods.
    pub methods: Vec<MethodCost>,
    /// Target number of concurrent runs; 0 if none was learned.
    pub concurrency_target: f64,
    /// Ratio of the current serving times to the learned ones; 0 if none was learned.
    pub slowdown: f64,
    /// Number of consecutive failed upstream calls.
    pub call_failures: u32,
    /// Accounts of the callers, most recently active first.
    pub accounts: Vec<AccountBalance>,
    /// Allowances of the tenants.
    pub tenants: Vec<TenantAllowance>,
}

/// Error in the text of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The text is not a checksummed text of this kind and format.
    #[error(transparent)]
    Checksum(#[from] ChecksumError),
    /// The checksum matches, but this program does not write such a line. Contains the line number, counted from 1.
    #[error("line {0} of the body is invalid")]
    InvalidLine(usize),
    /// The snapshot has more methods, accounts or tenants than this program writes.
    #[error(
        "too many entries: expected at most {} methods, {} accounts and {} tenants",
        MAX_METHODS,
        MAX_ACCOUNTS,
        MAX_TENANTS
    )]
    TooManyEntries,
}

impl Snapshot {
    /// Returns the snapshot as checksummed text of at most about 400 kB: 1,024 methods, 1,024 tenants and 1,000
    /// accounts. Methods and tenants whose names are too long or contain control characters, such as line breaks, are
    /// omitted; such a name of the backend is replaced by an empty one.
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

    /// Parses a text written by [`Snapshot::to_text`], completely or not at all.
    ///
    /// # Errors
    /// Returns a [`SnapshotError`] if the text is not valid. A line with a number that is negative, infinite or not a
    /// number is invalid.
    pub fn from_text(text: &str) -> Result<Snapshot, SnapshotError> {
        let body = decode_checksummed(KIND, FORMAT, text)?;
        let mut snapshot = Snapshot::default();
        for (i, line) in body.lines().enumerate() {
            snapshot.parse_line(line).ok_or(SnapshotError::InvalidLine(i + 1))?;
        }
        let within_limits = snapshot.methods.len() <= MAX_METHODS
            && snapshot.accounts.len() <= MAX_ACCOUNTS
            && snapshot.tenants.len() <= MAX_TENANTS;
        if within_limits {
            Ok(snapshot)
        } else {
            Err(SnapshotError::TooManyEntries)
        }
    }

    fn parse_line(&mut self, line: &str) -> Option<()> {
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
                self.cores = parse_non_negative(word()?)?;
                self.memory_mb = word()?.parse().ok()?;
            }
            "target" => self.concurrency_target = parse_non_negative(word()?)?,
            "pace" => self.slowdown = parse_non_negative(word()?)?,
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

/// Reports whether a name can be stored. Spaces are allowed, because a name extends to the end of its line.
fn is_valid_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES && !name.chars().any(char::is_control)
}

fn parse_method(values: &str) -> Option<MethodCost> {
    let mut words = values.splitn(4, ' ');
    Some(MethodCost {
        latency_target: words.next()?.parse().ok()?,
        mean: parse_non_negative(words.next()?)?,
        runs: parse_non_negative(words.next()?)?,
        name: words.next()?.to_string(),
    })
}

fn parse_account(values: &str) -> Option<AccountBalance> {
    let mut words = values.split(' ');
    let caller = words.next()?.parse().ok()?;
    let fraction = parse_non_negative(words.next()?).filter(|fraction| *fraction <= 1.0)?;
    Some(AccountBalance { caller, fraction })
}

fn parse_tenant(values: &str) -> Option<TenantAllowance> {
    let (rpcs, name) = values.split_once(' ')?;
    Some(TenantAllowance { rpcs: parse_non_negative(rpcs)?, name: name.to_string() })
}

fn parse_hash(word: &str) -> Option<u64> {
    u64::from_str_radix(word, 16).ok()
}

/// Parses a number that is finite and not negative.
fn parse_non_negative(word: &str) -> Option<f64> {
    word.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}
