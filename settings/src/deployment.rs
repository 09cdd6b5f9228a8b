//! The deployment file, with which the platform starts a backend.

use crate::bounded_read::BoundedRead;
use crate::error::{SettingsError, MAX_FILE_BYTES};
use crate::platform_settings::{PlatformSettings, PlatformSettingsReader};
use asterrill::Us;
use asterrill_entries::fields::{read_fields, FieldValue, JsonHandler, JsonSeed, ObjectFields, Strictness};
use asterrill_entries::{Configuration, MEMORY_LIMIT_KEY, SOCKET_LIMIT_KEY};
use serde::de::{DeserializeSeed, Error, MapAccess};
use std::io::{BufReader, Read};
use std::net::SocketAddr;

/// Number of bytes that are read from a file at a time.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A deployment of a backend: the addresses it uses, the resources it is granted and its settings.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The backend's name (`name`).
    pub name: String,
    /// The address at which sidecars connect (`listen`).
    pub listen: SocketAddr,
    /// The agent's address (`agent`).
    pub agent: SocketAddr,
    /// The name service's address (`naming`).
    pub name_service: SocketAddr,
    /// The upstream's address (`records`); `None` if the backend makes no upstream calls.
    pub upstream: Option<SocketAddr>,
    /// The seed of the random number generator (`seed`, hexadecimal).
    pub seed: u64,
    /// The time from the shutdown notice until the process is killed, in microseconds (`stop_ms`).
    pub shutdown_grace: Us,
    /// The granted memory in megabytes, as in the configuration's global settings.
    pub memory_mb: u64,
    /// The granted file descriptors, as in the configuration's global settings.
    pub sockets: u64,
    /// The settings of the decision module, with the granted limits.
    pub configuration: Configuration,
}

impl Deployment {
    /// Parses the text of a deployment file, a JSON object.
    ///
    /// # Errors
    /// Returns the same errors as [`Deployment::from_reader`].
    pub fn from_json(json: &str) -> Result<Deployment, SettingsError> {
        if json.len() as u64 > MAX_FILE_BYTES {
            return Err(SettingsError::FileTooLong);
        }
        parse(&mut serde_json::Deserializer::from_str(json), None)
    }

    /// Reads a deployment file, a JSON object, as a stream, without storing its text or a tree of it.
    ///
    /// Entries equal to those of `running` are shared with it, so that a file that changes one quota allocates one new entry.
    /// Keys may be in any order. Unknown keys are skipped; a duplicate of an expected key is an error.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] if the reader fails, the input is longer than [`MAX_FILE_BYTES`] or not JSON, or the value
    /// of a key is missing or invalid.
    pub fn from_reader(
        reader: impl Read, running: Option<&Configuration>,
    ) -> Result<Deployment, SettingsError> {
        let bounded = BoundedRead::new(reader, MAX_FILE_BYTES);
        let buffered = BufReader::with_capacity(READ_BUFFER_BYTES, bounded);
        parse(&mut serde_json::Deserializer::from_reader(buffered), running)
    }
}

fn parse<'d, R: serde_json::de::Read<'d>>(
    from: &mut serde_json::Deserializer<R>, running: Option<&Configuration>,
) -> Result<Deployment, SettingsError> {
    let mut file = FileReader::new(running);
    JsonSeed(&mut file).deserialize(&mut *from)?;
    from.end()?;
    file.finish(running)
}

const LIMITS_KEY: &str = "limits";
const SETTINGS_KEY: &str = "settings";

/// All keys of the file. Those before `limits` have scalar values.
const FILE_KEYS: &[&str] =
    &["name", "listen", "agent", "naming", "records", "seed", "stop_ms", LIMITS_KEY, SETTINGS_KEY];

/// Reads the root object of the file. As a handler, it returns whether the value was an object.
struct FileReader<'r> {
    scalars: ObjectFields,
    settings: PlatformSettingsReader<'r>,
    has_limits: bool,
    has_settings: bool,
}

impl JsonHandler for &mut FileReader<'_> {
    type Output = bool;

    fn scalar<E: Error>(self, _: FieldValue) -> Result<bool, E> {
        Ok(false)
    }

    fn object<'d, A: MapAccess<'d>>(self, object: A) -> Result<bool, A::Error> {
        read_fields(object, FILE_KEYS, Strictness::Lenient, |key, object| {
            match key.name {
                LIMITS_KEY => self.has_limits = self.settings.globals.read_resource_limits(object)?,
                SETTINGS_KEY => self.has_settings = object.next_value_seed(JsonSeed(&mut self.settings))?,
                _ => self.scalars.read_value(key.index, object)?,
            }
            Ok(())
        })?;
        Ok(true)
    }
}

impl<'r> FileReader<'r> {
    fn new(running: Option<&'r Configuration>) -> FileReader<'r> {
        FileReader {
            scalars: ObjectFields::new(FILE_KEYS, Strictness::Lenient),
            settings: PlatformSettingsReader::new(running),
            has_limits: false,
            has_settings: false,
        }
    }

    fn address(&self, key: &'static str) -> Result<SocketAddr, SettingsError> {
        self.scalars.text(key)?.parse().map_err(|_| SettingsError::invalid_field(key))
    }

    fn optional_address(&self, key: &'static str) -> Result<Option<SocketAddr>, SettingsError> {
        match self.scalars.value(key) {
            Some(_) => self.address(key).map(Some),
            None => Ok(None),
        }
    }

    fn seed(&self) -> Result<u64, SettingsError> {
        let digits = self.scalars.text("seed")?;
        u64::from_str_radix(digits, 16).map_err(|_| SettingsError::invalid_field("seed"))
    }

    fn finish(self, running: Option<&Configuration>) -> Result<Deployment, SettingsError> {
        if !self.has_limits {
            return Err(SettingsError::invalid_field(LIMITS_KEY));
        }
        let name = self.scalars.text("name")?.to_string();
        let listen = self.address("listen")?;
        let agent = self.address("agent")?;
        let name_service = self.address("naming")?;
        let upstream = self.optional_address("records")?;
        let seed = self.seed()?;
        let shutdown_grace = self.scalars.duration("stop_ms")?;
        if !self.has_settings {
            return Err(SettingsError::invalid_field(SETTINGS_KEY));
        }
        let PlatformSettings { globals, methods, tenants } = self.settings.finish()?;
        let (memory_mb, sockets) = (globals.memory_mb, globals.sockets);
        for (limit, key) in [(memory_mb, MEMORY_LIMIT_KEY), (sockets, SOCKET_LIMIT_KEY)] {
            if limit == 0 {
                return Err(SettingsError::invalid_field(key));
            }
        }
        let configuration = Configuration::from_entries(running, globals, methods, tenants)?;
        Ok(Deployment {
            name,
            listen,
            agent,
            name_service,
            upstream,
            seed,
            shutdown_grace,
            memory_mb,
            sockets,
            configuration,
        })
    }
}
