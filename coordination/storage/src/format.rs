//! The version of the format that the files of a folder are written in.
//!
//! A release reads the versions that it knows, and refuses a folder of a newer one without touching it: a process that took
//! such files for damaged would discard them. A release that writes a newer format first writes its version here.

use snafu::{ResultExt, Snafu};

use crate::directory::{Directory, DirectoryError};

/// The file with the version, a decimal number. Folders of the first releases have none.
const FORMAT_FILE: &str = "format";

/// Why a folder is not used.
#[derive(Debug, Snafu)]
pub enum FormatError {
    /// A later release has written the folder.
    #[snafu(display(
        "the folder has format {found}, and this release reads up to {supported}: start the later release again"
    ))]
    UnsupportedVersion {
        /// The version of the folder.
        found: u32,
        /// The newest version that can be read.
        supported: u32,
    },
    /// The file holds something else than a version.
    #[snafu(display("the file `{FORMAT_FILE}` holds no version"))]
    InvalidVersion,
    /// An operation of the folder failed.
    #[snafu(display("{source}"))]
    Disk {
        /// The operation that failed.
        source: DirectoryError,
    },
}

/// Checks the version of a folder; records the present one in a folder of an older version, or without any.
///
/// # Errors
///
/// The version is newer than the present one or can't be read, or an operation of the folder failed. Nothing was changed
/// then.
pub fn check_format<D: Directory>(directory: &mut D, present: u32) -> Result<(), FormatError> {
    let content = directory.read(FORMAT_FILE).context(DiskSnafu)?.unwrap_or_default();
    match version_of(&content)? {
        Some(found) if found > present => UnsupportedVersionSnafu { found, supported: present }.fail(),
        Some(found) if found == present => Ok(()),
        _ => record(directory, present).context(DiskSnafu),
    }
}

/// The version in the content of the file. A loss of power before the first sync may leave it empty or blank.
fn version_of(content: &[u8]) -> Result<Option<u32>, FormatError> {
    let is_blank = |byte: &u8| *byte == 0 || byte.is_ascii_whitespace();
    if content.iter().all(is_blank) {
        return Ok(None);
    }
    let text = std::str::from_utf8(content).ok();
    let version = text.and_then(|text| text.trim_end_matches(['\n', '\0']).parse().ok());
    version.map(Some).ok_or(FormatError::InvalidVersion)
}

fn record<D: Directory>(directory: &mut D, version: u32) -> Result<(), DirectoryError> {
    directory.write_at(FORMAT_FILE, 0, format!("{version}\n").as_bytes())?;
    directory.sync(FORMAT_FILE)
}
