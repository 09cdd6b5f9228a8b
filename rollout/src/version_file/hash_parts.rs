//! Parts of a version hash, and which of two files has changed since they were read before.

use super::state::PersistedVersion;
use crate::version::VersionHash;

/// Parts of a version hash; see [`crate::version_hash`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HashParts<'a> {
    entries: &'a str,
    /// Hash of the operator's file; none without such a file.
    operator_file: Option<&'a str>,
}

impl<'a> HashParts<'a> {
    fn of(hash: &'a str) -> HashParts<'a> {
        match hash.split_once('-') {
            Some((entries, operator_file)) => HashParts { entries, operator_file: Some(operator_file) },
            None => HashParts { entries: hash, operator_file: None },
        }
    }

    fn joined(self) -> VersionHash {
        match self.operator_file {
            Some(operator_file) => format!("{}-{operator_file}", self.entries).into(),
            None => self.entries.into(),
        }
    }
}

/// Which parts of a version stay although the files of the process state others, because these files have not changed
/// since they were read before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeptParts {
    /// Whether the entries stay.
    pub entries: bool,
    /// Whether the operator's file stays.
    pub operator_file: bool,
}

impl KeptParts {
    /// Compares the hash of the files with that of the files that were read before, if it is known.
    pub(super) fn since(read_before: Option<&str>, configured: &str) -> KeptParts {
        let Some(read_before) = read_before else { return KeptParts::default() };
        let (before, now) = (HashParts::of(read_before), HashParts::of(configured));
        KeptParts {
            entries: before.entries == now.entries,
            operator_file: before.operator_file == now.operator_file,
        }
    }

    /// Returns the hash of a version with these parts of `good` and the others of the files.
    pub(super) fn merged_hash(self, good: &PersistedVersion, configured: &str) -> VersionHash {
        let good = good.hash();
        let (kept, new) = (HashParts::of(&good), HashParts::of(configured));
        let entries = if self.entries { kept.entries } else { new.entries };
        let operator_file = if self.operator_file { kept.operator_file } else { new.operator_file };
        HashParts { entries, operator_file }.joined()
    }
}

/// Returns the hash of files of which the configuration file was read again.
pub fn hash_with_entries(files: &str, entries: &str) -> VersionHash {
    HashParts { entries: HashParts::of(entries).entries, ..HashParts::of(files) }.joined()
}
