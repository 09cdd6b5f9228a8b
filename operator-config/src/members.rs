//! The section `[members]`: how this backend knows the others.

use crate::lines::ParseError;
use crate::units::{address, count_in, time_in};
use crate::Directives;
use std::net::SocketAddr;
use std::path::PathBuf;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const CONTACTS: usize = 64;
const WORD: usize = 64; // bytes of a name

/// How this backend knows the others. Times are microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Whose members know each other: datagrams of another cluster are dropped.
    pub cluster: String,
    /// Where datagrams are taken, and where others reach that.
    pub listen: SocketAddr,
    pub advertise: SocketAddr,
    /// The file of the key that all share.
    pub key_file: PathBuf,
    /// Where others may be, for the first word with them.
    pub seed_addresses: Vec<SocketAddr>,
    /// Members that there are at the least: the number by which what is shared is divided in the settings.
    pub expected_members: usize,
    pub zone: String,
    pub capacity: u32,
    pub probe_interval: u64,
    pub suspicion_timeout: u64,
    pub contact_interval: u64,
    pub join_delay: u64,
    pub forget_after: u64,
    pub flap_window: u64,
}

fn word<'a>(of: &crate::lines::Directive<'a>) -> Result<&'a str, ParseError> {
    let word = of.one()?;
    if word.len() > WORD {
        return Err(of.error(format!("{} has {WORD} bytes at most", of.name())));
    }
    Ok(word)
}

impl MembershipConfig {
    pub(crate) fn read(mut section: Directives<'_>) -> Result<MembershipConfig, ParseError> {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut members = MembershipConfig {
            cluster: String::new(),
            listen: nowhere,
            advertise: nowhere,
            key_file: PathBuf::new(),
            seed_addresses: Vec::new(),
            expected_members: 0,
            zone: String::new(),
            capacity: 1,
            probe_interval: 200 * MS,
            suspicion_timeout: S,
            contact_interval: S,
            join_delay: 5 * S,
            forget_after: 3600 * S,
            flap_window: 60 * S,
        };
        for directive in section.take() {
            if directive.name() != "contact" {
                section.once(&directive)?;
            }
            let one = directive.one()?;
            match directive.name() {
                "cluster" => members.cluster = word(&directive)?.into(),
                "listen" => members.listen = address(&directive, one)?,
                "advertise" => members.advertise = address(&directive, one)?,
                "key-file" if one.starts_with('/') => members.key_file = one.into(),
                "key-file" => {
                    return Err(directive.error(format!("key-file wants a path from the root, not {one:?}")))
                }
                "contact" if members.seed_addresses.len() >= CONTACTS => {
                    return Err(directive.error(format!("there are {CONTACTS} contacts at most")))
                }
                "contact" => members.seed_addresses.push(address(&directive, one)?),
                "expect" => members.expected_members = count_in(&directive, one, 1, 2_000)? as usize,
                "zone" => members.zone = word(&directive)?.into(),
                "capacity" => members.capacity = count_in(&directive, one, 1, 1_000_000)? as u32,
                "probe" => members.probe_interval = time_in(&directive, one, 20 * MS, 10 * S)?,
                "suspicion" => members.suspicion_timeout = time_in(&directive, one, 100 * MS, 60 * S)?,
                "greet" => members.contact_interval = time_in(&directive, one, 100 * MS, 60 * S)?,
                "settle" => members.join_delay = time_in(&directive, one, 100 * MS, 600 * S)?,
                "forget" => members.forget_after = time_in(&directive, one, 60 * S, 30 * 24 * 3600 * S)?,
                "calm" => members.flap_window = time_in(&directive, one, S, 3600 * S)?,
                other => return Err(directive.error(format!("[members] has no directive {other}"))),
            }
        }
        for name in ["cluster", "listen", "key-file", "expect"] {
            if !section.has(name) {
                return Err(section.error(&format!("[members] wants {name}")));
            }
        }
        if !section.has("advertise") {
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
}
