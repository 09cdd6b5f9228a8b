//! What one version says, and a handle to the version that runs for threads beside the worker.

use asterrill_entries::Configuration;
use asterrill_operator_config::OperatorConfig;
use asterrill_rollout::{version_hash, PersistedVersion, VersionHash};
use asterrill_settings::SettingsError;
use std::sync::{Arc, Mutex, MutexGuard};

/// What one version says: the configuration's entries, and the operator's file. Cheap to clone.
#[derive(Clone, Debug)]
pub struct VersionContent {
    /// Global settings, methods and tenants.
    pub configuration: Configuration,
    /// The operator's file, parsed.
    pub operator_config: Arc<OperatorConfig>,
    /// The operator's file as it was written; empty where there is none.
    operator_text: Arc<str>,
}

impl VersionContent {
    /// Of parts that were read already.
    pub fn new(
        configuration: Configuration, operator_config: OperatorConfig, operator_text: &str,
    ) -> VersionContent {
        let operator_config = Arc::new(operator_config);
        VersionContent { configuration, operator_config, operator_text: operator_text.into() }
    }

    /// The same with other entries.
    pub fn with_configuration(&self, configuration: Configuration) -> VersionContent {
        VersionContent { configuration, ..self.clone() }
    }

    /// The same with another operator's file.
    ///
    /// # Errors
    /// What is wrong with that file, and where.
    pub fn with_operator_file(&self, text: &str) -> Result<VersionContent, SettingsError> {
        let parsed = asterrill_operator_config::parse("operator's file", text);
        let operator_config = parsed.map_err(|mistake| SettingsError::new(mistake.to_string()))?;
        Ok(VersionContent::new(self.configuration.clone(), operator_config, text))
    }

    /// The version's hash: the same for the same meaning of the entries.
    pub fn hash(&self) -> VersionHash {
        version_hash(&self.configuration, &self.operator_text)
    }

    /// A hash of the entries alone, as snapshots of learned values name it.
    pub fn settings_hash(&self) -> u64 {
        asterrill_recovery::seed(0, &self.configuration.digest().to_string(), 0, 0)
    }

    /// The version as it persists.
    pub fn to_persisted(&self, number: u64) -> PersistedVersion {
        let (content, operator_file) = (self.configuration.clone(), self.operator_text.clone());
        PersistedVersion { number, content, operator_file }
    }

    /// The content of a version that was read back.
    ///
    /// # Errors
    /// What is wrong with its operator's file.
    pub fn from_persisted(version: &PersistedVersion) -> Result<VersionContent, SettingsError> {
        let empty = VersionContent::new(version.content.clone(), OperatorConfig::default(), "");
        empty.with_operator_file(&version.operator_file)
    }
}

/// The content that runs, for threads that read a file beside it: what is the same is shared.
pub struct RunningContent(Mutex<VersionContent>);

impl RunningContent {
    /// Begins with this content.
    pub fn new(content: &VersionContent) -> RunningContent {
        RunningContent(Mutex::new(content.clone()))
    }

    /// A copy of what runs.
    pub fn get(&self) -> VersionContent {
        self.lock().clone()
    }

    /// Another content runs.
    pub fn set(&self, content: &VersionContent) {
        let before = std::mem::replace(&mut *self.lock(), content.clone());
        // Dropped outside of the lock: it may be long.
        drop(before);
    }

    fn lock(&self) -> MutexGuard<'_, VersionContent> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}
