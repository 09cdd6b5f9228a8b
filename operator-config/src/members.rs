//! The section `[members]`: the membership of a cluster of backends.

use crate::directive::Directive;
use crate::error::ParseError;
use crate::section::Section;
use crate::units::{DAY_US, HOUR_US, MILLISECOND_US, MINUTE_US, SECOND_US};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Maximum number of seed addresses.
const MAX_SEED_ADDRESSES: usize = 64;
/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;
/// Maximum of the expected number of members.
const MAX_EXPECTED_MEMBERS: u64 = 2_000;
/// Maximum capacity of a member.
const MAX_CAPACITY: u64 = 1_000_000;

/// The placeholder for an address that has not been read.
const UNSPECIFIED: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The membership of a cluster of backends. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// The cluster's name (`cluster`). Datagrams of other clusters are dropped.
    pub cluster: String,
    /// The address at which datagrams are received (`listen`).
    pub listen: SocketAddr,
    /// The address at which other members reach this backend (`advertise`).
    pub advertise: SocketAddr,
    /// The file with the key that all members share (`key-file`).
    pub key_file: PathBuf,
    /// Addresses of members to contact in order to join the cluster, up to 64 (`contact`).
    pub seed_addresses: Vec<SocketAddr>,
    /// The minimum number of members, 1 to 2000, by which the settings divide shared limits (`expect`).
    pub expected_members: usize,
    /// The zone that is shown to operators (`zone`).
    pub zone: String,
    /// The capacity that is shown to operators, 1 to a million (`capacity`).
    pub capacity: u32,
    /// The interval between two probes, 20 ms to 10 s (`probe`).
    pub probe_interval: u64,
    /// The time from a failed probe until the member counts as failed, 100 ms to 1 min (`suspicion`).
    pub suspicion_timeout: u64,
    /// The interval between messages to seed addresses while members are missing, 100 ms to 1 min (`greet`).
    pub contact_interval: u64,
    /// The time until a new member is counted as a member, 100 ms to 10 min (`settle`).
    pub join_delay: u64,
    /// The time until a failed member is removed from the list, 1 min to 30 d (`forget`).
    pub forget_after: u64,
    /// The window over which failures and returns of a member are counted, 1 s to 1 h (`calm`).
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
                return Err(section.error(format!("[members] requires {name}")));
            }
        }
        if !section.contains("advertise") {
            members.advertise = members.listen;
        }
        if members.advertise.ip().is_unspecified() {
            return Err(
                section.error("advertise must be an address at which other members reach this backend")
            );
        }
        if members.suspicion_timeout < 2 * members.probe_interval {
            return Err(section.error("suspicion must be at least twice the probe interval (probe)"));
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
            probe_interval: 200 * MILLISECOND_US,
            suspicion_timeout: SECOND_US,
            contact_interval: SECOND_US,
            join_delay: 5 * SECOND_US,
            forget_after: HOUR_US,
            flap_window: MINUTE_US,
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
            "probe" => self.probe_interval = directive.duration(20 * MILLISECOND_US..=10 * SECOND_US)?,
            "suspicion" => self.suspicion_timeout = directive.duration(100 * MILLISECOND_US..=MINUTE_US)?,
            "greet" => self.contact_interval = directive.duration(100 * MILLISECOND_US..=MINUTE_US)?,
            "settle" => self.join_delay = directive.duration(100 * MILLISECOND_US..=10 * MINUTE_US)?,
            "forget" => self.forget_after = directive.duration(MINUTE_US..=30 * DAY_US)?,
            "calm" => self.flap_window = directive.duration(SECOND_US..=HOUR_US)?,
            _ => return Err(section.unknown_directive(directive)),
        }
        Ok(())
    }

    fn add_seed_address(&mut self, directive: &Directive<'_>) -> Result<(), ParseError> {
        if self.seed_addresses.len() >= MAX_SEED_ADDRESSES {
            return Err(directive.error(format!("[members] has more than {MAX_SEED_ADDRESSES} contacts")));
        }
        self.seed_addresses.push(directive.address()?);
        Ok(())
    }
}

fn read_name(directive: &Directive<'_>) -> Result<String, ParseError> {
    let name = directive.value()?;
    if name.len() > MAX_NAME_BYTES {
        return Err(directive.error(format!("{} is longer than {MAX_NAME_BYTES} bytes", directive.name())));
    }
    Ok(name.into())
}
