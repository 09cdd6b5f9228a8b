//! Reference model of versions, and version files written from it.

use crate::versions::method;
use asterrill_entries::{Change, Configuration, GlobalSettings};
use asterrill_rollout::*;
use std::collections::BTreeMap;

/// Version reduced to the rates of tenants and the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelVersion {
    pub number: u64,
    pub tenants: BTreeMap<String, u32>,
    pub file: String,
}

impl ModelVersion {
    pub fn new(number: u64, tenants: &[(&str, u32)], file: &str) -> ModelVersion {
        let tenants = tenants.iter().map(|(name, rate)| (name.to_string(), *rate)).collect();
        ModelVersion { number, tenants, file: file.into() }
    }
    pub fn has_content_of(&self, other: &ModelVersion) -> bool {
        self.tenants == other.tenants && self.file == other.file
    }
    /// Builds the version entry by entry, so that it shares no data with other versions.
    pub fn persisted(&self) -> PersistedVersion {
        let put =
            self.tenants.iter().map(|(name, rate)| Change::PutTenant(name.as_str().into(), f64::from(*rate)));
        let put: Vec<Change> = put.chain([Change::PutMethod("look".into(), method(1.0, 100))]).collect();
        let content = Configuration::new(GlobalSettings::default()).apply(&put).unwrap();
        PersistedVersion { number: self.number, content, operator_file: self.file.as_str().into() }
    }
    pub fn rolled_back(&self) -> RolledBack {
        RolledBack { hash: self.persisted().hash(), number: self.number }
    }
    pub fn of(version: &PersistedVersion) -> ModelVersion {
        let tenants = version.content.tenants().map(|(name, rate)| (name.to_string(), rate as u32)).collect();
        ModelVersion { number: version.number, tenants, file: version.operator_file.to_string() }
    }
}

pub fn state(
    good: &ModelVersion, probation: Option<&ModelVersion>, rolled_back: &[&ModelVersion],
) -> PersistedState {
    PersistedState {
        good: good.persisted(),
        probation: probation.map(ModelVersion::persisted),
        rolled_back: rolled_back.iter().map(|version| version.rolled_back()).collect(),
    }
}
pub fn snapshot(state: &PersistedState) -> (String, WrittenFile) {
    let mut text = String::new();
    let written = write_snapshot(state, &mut text).unwrap();
    (text, written)
}
/// Appends the steps that lead to another state.
pub fn append(text: &mut String, written: WrittenFile, to: &PersistedState) -> WrittenFile {
    let update = written.update_to(to).unwrap();
    let start = text.len();
    update.write(text).unwrap();
    assert_eq!(update.bytes(), (text.len() - start) as u64);
    written.after_update(to.clone(), &update)
}
pub fn recovered(bytes: &[u8]) -> Recovered {
    recover(bytes).unwrap()
}

pub fn version_a() -> ModelVersion {
    ModelVersion::new(1, &[("nile", 5), ("oder", 7)], "[broker]\nqueue \u{e9} 1\n")
}
pub fn version_b() -> ModelVersion {
    ModelVersion::new(2, &[("nile", 6), ("oder", 7), ("po", 1)], "[broker]\nqueue \u{e9} 1\n")
}
pub fn version_c() -> ModelVersion {
    ModelVersion::new(3, &[("nile", 6)], "another file\n")
}

/// Returns the text of a file with all kinds of steps, and for each record its end and the state after it.
pub fn file_with_all_steps() -> (String, Vec<(usize, PersistedState)>) {
    let rolled_back = ModelVersion::new(9, &[("spree", 1)], "");
    let first = state(&version_a(), None, &[&rolled_back]);
    let (mut text, mut written) = snapshot(&first);
    let mut ends = vec![(text.len(), first)];
    for next in [
        state(&version_a(), Some(&version_b()), &[&rolled_back]),
        state(&version_b(), None, &[&rolled_back]),
        state(&version_b(), Some(&version_c()), &[&rolled_back]),
        state(&version_b(), None, &[&rolled_back, &version_c()]),
        state(&ModelVersion { number: 4, ..version_a() }, None, &[&rolled_back, &version_c()]),
    ] {
        written = append(&mut text, written, &next);
        ends.push((text.len(), next));
    }
    (text, ends)
}
