//! What a backend is told at its start.

use crate::lists::{Lists, Told};
use crate::SettingsError;
use asterrill_entries::fields::{walk, Any, Fields, Form, Reading, Scalar};
use asterrill_entries::{Configuration, MEMORY_LIMIT_KEY, SOCKET_LIMIT_KEY};
use serde::de::{DeserializeSeed, Error, MapAccess};
use std::io::{self, BufReader, Read};
use std::net::SocketAddr;

/// Bytes of a file at the most: all that the bounds of its lists allow, by names of a usual length, and half as much again.
pub const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// The place of this backend among the others.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: String,
    pub listen: SocketAddr,
    pub agent: SocketAddr,
    pub name_service: SocketAddr,
    /// Left out where nothing lies below.
    pub upstream: Option<SocketAddr>,
    pub seed: u64,
    /// From the notice to leave to the kill.
    pub shutdown_grace: asterrill::Us,
    /// As `content.frame()` has it.
    pub memory_mb: u64,
    /// As `content.frame()` has it.
    pub sockets: u64,
    /// The settings of the decision module, and what the deployment grants.
    pub configuration: Configuration,
}

const OWN: &[&str] =
    &["name", "listen", "agent", "naming", "records", "seed", "stop_ms", "limits", "settings"];
const SCALARS: &[&str] = &["name", "listen", "agent", "naming", "records", "seed", "stop_ms"];

struct File<'r> {
    own: Fields,
    lists: Lists<'r>,
    limits: bool,
    settings: bool,
}

impl Form for &mut File<'_> {
    type Made = bool;
    fn scalar<E: Error>(self, _: Scalar) -> Result<bool, E> {
        Ok(false)
    }
    fn object<'d, A: MapAccess<'d>>(self, object: A) -> Result<bool, A::Error> {
        walk(object, OWN, Reading::File, |place, object| match OWN.get(place) {
            Some(&"limits") => {
                self.limits = self.lists.frame.read_machine(object)?;
                Ok(())
            }
            Some(&"settings") => {
                self.settings = object.next_value_seed(Any(&mut self.lists))?;
                Ok(())
            }
            _ => self.own.read(place, object),
        })?;
        Ok(true)
    }
}

/// Reads the configuration, a JSON object.
///
/// # Errors
/// As [`read_from`].
pub fn read(json: &str) -> Result<Deployment, SettingsError> {
    if json.len() as u64 > MAX_FILE_BYTES {
        return Err(SettingsError::FileTooLong);
    }
    deployment(&mut serde_json::Deserializer::from_str(json), None)
}

/// Reads the configuration, a JSON object, as it comes: neither its text nor a tree of it is kept. What is the same in
/// `running` is shared with it, so that a file which changes one quota costs one entry of new memory.
///
/// Keys may come in any order; those not known are passed over, and one that is known and stands twice is refused.
///
/// # Errors
/// The message names what is wrong: the reader's own error, more than [`MAX_FILE_BYTES`] bytes, no JSON, or the key at fault.
pub fn read_from(reader: impl Read, running: Option<&Configuration>) -> Result<Deployment, SettingsError> {
    let bounded = BufReader::with_capacity(16 * 1024, Bounded { reader, left: MAX_FILE_BYTES });
    deployment(&mut serde_json::Deserializer::from_reader(bounded), running)
}

fn deployment<'d, R: serde_json::de::Read<'d>>(
    from: &mut serde_json::Deserializer<R>, running: Option<&Configuration>,
) -> Result<Deployment, SettingsError> {
    let own = Fields::new(SCALARS, Reading::File);
    let mut file = File { own, lists: Lists::new(running), limits: false, settings: false };
    Any(&mut file).deserialize(&mut *from)?;
    from.end()?;
    let File { own, lists, limits, settings } = file;
    let address = |name| own.text(name)?.parse().map_err(|_| SettingsError::invalid_field(name));
    if !limits {
        return Err(SettingsError::invalid_field("limits"));
    }
    let (name, listen, agent, naming) =
        (own.text("name")?.to_string(), address("listen")?, address("agent")?, address("naming")?);
    let records = if own.told("records").is_some() { Some(address("records")?) } else { None };
    let seed =
        u64::from_str_radix(own.text("seed")?, 16).map_err(|_| SettingsError::invalid_field("seed"))?;
    let stop = own.time("stop_ms")?;
    if !settings {
        return Err(SettingsError::invalid_field("settings"));
    }
    let Told { frame, methods, tenants } = lists.told()?;
    let (memory_mb, sockets) = (frame.memory_mb, frame.sockets);
    for (granted, key) in [(memory_mb, MEMORY_LIMIT_KEY), (sockets, SOCKET_LIMIT_KEY)] {
        if granted == 0 {
            return Err(SettingsError::invalid_field(key));
        }
    }
    let content = Configuration::from_entries(running, frame, methods, tenants)?;
    Ok(Deployment {
        name,
        listen,
        agent,
        name_service: naming,
        upstream: records,
        seed,
        shutdown_grace: stop,
        memory_mb,
        sockets,
        configuration: content,
    })
}

/// Fails as soon as there is more than is left.
struct Bounded<R> {
    reader: R,
    left: u64,
}

impl<R: Read> Read for Bounded<R> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        let n = self.reader.read(to)?;
        self.left =
            self.left.checked_sub(n as u64).ok_or_else(|| io::Error::other(SettingsError::FileTooLong))?;
        Ok(n)
    }
}
