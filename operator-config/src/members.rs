//! The section `[members]`: membership of backends that know each other.

use crate::directive::Directive;
use crate::error::ParseError;
use crate::section::Section;
use crate::units::{DAY, HOUR, MILLISECOND, MINUTE, SECOND};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Most seed addresses.
const MAX_SEED_ADDRESSES: usize = 64;
/// Most bytes of a name.
const MAX_NAME_BYTES: usize = 64;
/// Most members that may be expected.
const MAX_EXPECTED_MEMBERS: u64 = 2_000;
/// Greatest capacity of a member.
const MAX_CAPACITY: u64 = 1_000_000;

/// An address that stands for none.
const UNSPECIFIED: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Membership of backends. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// The cluster's name; datagrams of other clusters are dropped (`cluster`).
    pub cluster: String,
    /// Where datagrams are received (`listen`).
    pub listen: SocketAddr,
    /// Where others reach this backend (`advertise`).
    pub advertise: SocketAddr,
    /// The file with the key that all members share (`key-file`).
    pub key_file: PathBuf,
    /// Where other members may be found at the start, up to 64 (`contact`).
    pub seed_addresses: Vec<SocketAddr>,
    /// Members that there are at least, 1 to 2000: the number by which the settings divide what is shared (`expect`).
    pub expected_members: usize,
    /// The zone, as shown to operators (`zone`).
    pub zone: String,
    /// The capacity, as shown to operators, 1 to a million (`capacity`).
    pub capacity: u32,
    /// Between two probes, 20 ms to 10 s (`probe`).
    pub probe_interval: u64,
    /// From a failed probe until a member counts as failed, 100 ms to 1 min (`suspicion`).
    pub suspicion_timeout: u64,
    /// Between messages to seed addresses while members are missing, 100 ms to 1 min (`greet`).
    pub contact_interval: u64,
    /// Until a new member counts, 100 ms to 10 min (`settle`).
    pub join_delay: u64,
    /// Until a failed member is forgotten, 1 min to 30 d (`forget`).
    pub forget_after: u64,
    /// Over which failures and returns of a member are counted, 1 s to 1 h (`calm`).
    pub flap_window: u64,
}

impl MembershipConfig {
    /// Reads the section `[members]`.
    pub(crate) fn read(mut section: Section<'_>) -> Result<MembershipConfig, ParseError> {
        let mut members = MembershipConfig::with_defaults();
        for directive in section.take_directives() {
            if directive.name() != "contact" {
                section.check_first(&directive)?;
            }
            directive.value()?;
            members.read_directive(&section, &directive)?;
        }
        for name in ["cluster", "listen", "key-file", "expect"] {
            if !section.contains(name) {
                return Err(section.error(format!("[members] wants {name}")));
            }
        }
        if !section.contains("advertise") {
            members.advertise = members.listen;
        }
        if members.advertise.ip().is_unspecified() {
            return Err(section.error("advertise wants an address at which others reach this backend"));
        }
        if members.suspicion_timeout < 2 * members.probe_interval {
            return Err(section.error("suspicion lasts two probes at the least: see probe"));
        }
        Ok(members)
    }

    fn with_defaults() -> MembershipConfig {
        MembershipConfig {
            cluster: String::new(),
            listen: UNSPECIFIED,
            advertise: UNSPECIFIED,
            key_file: PathBuf::new(),
            seed_addresses: Vec::new(),
            expected_members: 0,
            zone: String::new(),
            capacity: 1,
            probe_interval: 200 * MILLISECOND,
            suspicion_timeout: SECOND,
            contact_interval: SECOND,
            join_delay: 5 * SECOND,
            forget_after: HOUR,
            flap_window: MINUTE,
        }
    }

    fn read_directive(&mut self, section: &Section<'_>, directive: &Directive<'_>) -> Result<(), ParseError> {
        match directive.name() {
            "cluster" => self.cluster = read_name(directive)?,
            "listen" => self.listen = directive.address()?,
            "advertise" => self.advertise = directive.address()?,
            "key-file" => self.key_file = directive.absolute_path()?,
            "contact" => self.add_seed_address(directive)?,
            "expect" => self.expected_members = directive.count(1..=MAX_EXPECTED_MEMBERS)? as usize,
            "zone" => self.zone = read_name(directive)?,
            "capacity" => self.capacity = directive.count(1..=MAX_CAPACITY)? as u32,
            "probe" => self.probe_interval = directive.duration(20 * MILLISECOND..=10 * SECOND)?,
            "suspicion" => self.suspicion_timeout = directive.duration(100 * MILLISECOND..=MINUTE)?,
            "greet" => self.contact_interval = directive.duration(100 * MILLISECOND..=MINUTE)?,
            "settle" => self.join_delay = directive.duration(100 * MILLISECOND..=10 * MINUTE)?,
            "forget" => self.forget_after = directive.duration(MINUTE..=30 * DAY)?,
            "calm" => self.flap_window = directive.duration(SECOND..=HOUR)?,
            _ => return Err(section.unknown_directive(directive)),
        }
        Ok(())
    }

    fn add_seed_address(&mut self, directive: &Directive<'_>) -> Result<(), ParseError> {
        if self.seed_addresses.len() >= MAX_SEED_ADDRESSES {
            return Err(directive.error(format!("there are {MAX_SEED_ADDRESSES} contacts at most")));
        }
        self.seed_addresses.push(directive.address()?);
        Ok(())
    }
}

fn read_name(directive: &Directive<'_>) -> Result<String, ParseError> {
    let name = directive.value()?;
    if name.len() > MAX_NAME_BYTES {
        return Err(directive.error(format!("{} has {MAX_NAME_BYTES} bytes at most", directive.name())));
    }
    Ok(name.into())
}
