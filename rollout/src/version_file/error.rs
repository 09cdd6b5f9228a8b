//! Errors of a record and of the version file.

use crate::version::VersionHash;
use asterrill_entries::{ConfigError, StepError};
use std::io;
use std::num::ParseIntError;
use std::str::Utf8Error;

/// Reason why a record cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The file ends within its first line.
    #[error("the file ends within its first line")]
    FirstLineCutShort,
    /// The snapshot header on the second line is malformed, or its checksum does not match.
    #[error("the snapshot header on the second line is malformed or its checksum does not match")]
    SnapshotHeader,
    /// A line that should name a rolled back version is malformed.
    #[error("the line of an undone version is malformed, expected \"undone HASH NUMBER\"")]
    RolledBackLine,
    /// The end line of the snapshot is missing.
    #[error("the end line of the snapshot is missing")]
    SnapshotCutShort,
    /// The checksum of the snapshot does not match.
    #[error("the checksum of the snapshot does not match")]
    SnapshotChecksum,
    /// The hash of the snapshot's content differs from the hash in its header.
    #[error("the hash of the snapshot's content differs from the hash in its header")]
    SnapshotHash,
    /// A line that should be the header of a step is malformed, or its checksum does not match.
    #[error("the step header is malformed or its checksum does not match")]
    StepHeader,
    /// The file ends within the body of the step.
    #[error("the step body is cut short")]
    StepCutShort,
    /// The checksum of the step's body does not match.
    #[error("the checksum of the step body does not match")]
    StepChecksum,
    /// The base of the step is not the last good version.
    #[error("base version {0} is missing")]
    MissingBase(u64),
    /// The hash of the version that the step yields differs from the hash in its header.
    #[error("the step yields hash {found}, expected {expected}")]
    StepHash {
        /// Hash of the version that the step yields.
        found: VersionHash,
        /// Hash in the header of the step.
        expected: VersionHash,
    },
    /// The step confirms a version that was not on probation.
    #[error("the step settles a version that was not on probation")]
    NotOnProbation,
    /// The step must hold a version, but holds none.
    #[error("the step holds no version")]
    NoVersion,
    /// A number cannot be parsed.
    #[error("{0}")]
    Number(#[from] ParseIntError),
    /// A text is not UTF-8.
    #[error("{0}")]
    Encoding(#[from] Utf8Error),
    /// The entries cannot be parsed.
    #[error("{0}")]
    Entries(#[from] StepError),
    /// The entries cannot be applied.
    #[error("{0}")]
    Configuration(#[from] ConfigError),
}

/// Reason why a version file cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum VersionFileError {
    /// The file does not begin like a version file.
    #[error("not a version file of this program")]
    NotVersionFile,
    /// The file has an unsupported format. Holds its first line.
    #[error("written by another version of this program: {0:?}")]
    UnsupportedFormat(String),
    /// The snapshot is cut short or damaged.
    #[error("the snapshot is cut short or damaged: {0}")]
    Damaged(#[from] RecordError),
    /// Reading failed. Holds the error of the operating system.
    #[error("cannot read the file: {0}")]
    Unreadable(String),
}

impl From<io::Error> for VersionFileError {
    fn from(error: io::Error) -> VersionFileError {
        VersionFileError::Unreadable(error.to_string())
    }
}
