//! Why a record, or the file that holds it, can't be used.

use crate::version::VersionHash;
use asterrill_entries::{ConfigError, StepError};
use std::io;
use std::num::ParseIntError;
use std::str::Utf8Error;

/// What is wrong with a record.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The file ends in its first line.
    #[error("it ends in its first line")]
    FirstLineCutShort,
    /// The head of the snapshot is not one, or its checksum is wrong.
    #[error("its second line")]
    SnapshotHeader,
    /// A line does not name a version that was rolled back.
    #[error("a line of what was undone")]
    RolledBackLine,
    /// The last line of the snapshot is missing.
    #[error("it has no end")]
    SnapshotCutShort,
    /// The checksum of the snapshot is wrong.
    #[error("its sum is another")]
    SnapshotChecksum,
    /// The entries of the snapshot have another hash than its head says.
    #[error("its entries have another hash")]
    SnapshotHash,
    /// A line that should be the head of a step is none.
    #[error("its first line is damaged")]
    StepHeader,
    /// The file ends within the body of the step.
    #[error("it is cut short")]
    StepCutShort,
    /// The checksum of the step's body is wrong.
    #[error("its body is damaged")]
    StepChecksum,
    /// The step leads on from another version than the last good one.
    #[error("its base, version {0}, is missing")]
    MissingBase(u64),
    /// The step leads to a version with another hash than its head says.
    #[error("it leads to {found}, not to {expected}")]
    StepHash {
        /// The hash of the version that it leads to.
        found: VersionHash,
        /// The hash in its head.
        expected: VersionHash,
    },
    /// The step confirms a version that was not on probation.
    #[error("what it settles was not on probation")]
    NotOnProbation,
    /// The step should hold a version, and does not.
    #[error("it holds no version")]
    NoVersion,
    /// A number is none.
    #[error("{0}")]
    Number(#[from] ParseIntError),
    /// A text is not UTF-8.
    #[error("{0}")]
    Encoding(#[from] Utf8Error),
    /// The entries can't be read.
    #[error("{0}")]
    Entries(#[from] StepError),
    /// The entries can't be applied.
    #[error("{0}")]
    Configuration(#[from] ConfigError),
}

/// Why a file of versions can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum VersionFileError {
    /// It does not begin as this file of the program does.
    #[error("it is no file of versions of this program")]
    Foreign,
    /// Its format has another number; holds its first line.
    #[error("it was written by another version of this program: {0:?}")]
    OtherFormat(String),
    /// Its snapshot is cut short or damaged.
    #[error("its whole version is cut short or damaged: {0}")]
    Damaged(#[from] RecordError),
    /// Reading failed; holds the system's error.
    #[error("it can't be read: {0}")]
    Unreadable(String),
}

impl From<io::Error> for VersionFileError {
    fn from(error: io::Error) -> VersionFileError {
        VersionFileError::Unreadable(error.to_string())
    }
}
