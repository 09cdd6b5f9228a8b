//! Content of one version, and a shared handle to the running version for threads other than the worker.

use asterrill_entries::Configuration;
use asterrill_operator_config::OperatorConfig;
use asterrill_rollout::{version_hash, PersistedVersion, VersionHash};
use asterrill_settings::SettingsError;
use std::sync::{Arc, Mutex, MutexGuard};

/// Content of one version: the entries of the configuration and the operator's file. Cheap to clone.
#[derive(Clone, Debug)]
pub struct VersionContent {
    /// Global settings, methods and tenants.
    pub configuration: Configuration,
    /// Parsed operator's file.
    pub operator_config: Arc<OperatorConfig>,
    /// Text of the operator's file; empty if there is none.
    operator_text: Arc<str>,
}

impl VersionContent {
    /// Creates a version from a configuration and an operator's file that are parsed already.
    pub fn new(
        configuration: Configuration, operator_config: OperatorConfig, operator_text: &str,
    ) -> VersionContent {
        let operator_config = Arc::new(operator_config);
        VersionContent { configuration, operator_config, operator_text: operator_text.into() }
    }

    /// Returns a copy with another configuration.
    pub fn with_configuration(&self, configuration: Configuration) -> VersionContent {
        VersionContent { configuration, ..self.clone() }
    }

    /// Returns a copy with another operator's file.
    ///
    /// # Errors
    /// The file is invalid. The error names the line.
    pub fn with_operator_file(&self, text: &str) -> Result<VersionContent, SettingsError> {
        let parsed = asterrill_operator_config::parse("operator's file", text);
        let operator_config = parsed.map_err(|error| SettingsError::new(error.to_string()))?;
        Ok(VersionContent::new(self.configuration.clone(), operator_config, text))
    }

    /// Returns the hash of the version. It does not depend on how equal entries are written.
    pub fn hash(&self) -> VersionHash {
        version_hash(&self.configuration, &self.operator_text)
    }

    /// Returns a hash of the entries alone, by which snapshots of learned values identify the settings.
    pub fn settings_hash(&self) -> u64 {
        asterrill_recovery::seed(0, &self.configuration.digest().to_string(), 0, 0)
    }

    /// Converts the version to its persisted form.
    pub fn to_persisted(&self, number: u64) -> PersistedVersion {
        let (content, operator_file) = (self.configuration.clone(), self.operator_text.clone());
        PersistedVersion { number, content, operator_file }
    }

    /// Restores the content of a persisted version.
    ///
    /// # Errors
    /// The persisted operator's file is invalid.
    pub fn from_persisted(version: &PersistedVersion) -> Result<VersionContent, SettingsError> {
        let empty = VersionContent::new(version.content.clone(), OperatorConfig::default(), "");
        empty.with_operator_file(&version.operator_file)
    }
}

/// Content of the running version, shared with the threads that parse files. Equal entries of a parsed file share its
/// memory.
pub struct RunningContent(Mutex<VersionContent>);

impl RunningContent {
    /// Creates a handle to `content`.
    pub fn new(content: &VersionContent) -> RunningContent {
        RunningContent(Mutex::new(content.clone()))
    }

    /// Returns a copy of the running content.
    pub fn get(&self) -> VersionContent {
        self.lock().clone()
    }

    /// Replaces the running content.
    pub fn set(&self, content: &VersionContent) {
        let previous = std::mem::replace(&mut *self.lock(), content.clone());
        // Freeing a large configuration takes long, so it is done after the lock was released.
        drop(previous);
    }

    fn lock(&self) -> MutexGuard<'_, VersionContent> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}
