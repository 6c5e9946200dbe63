//! The format version of the files in a folder.
//!
//! A release reads all versions up to its own. It rejects a folder with a newer version without changing
//! it, because it could mistake the files for damaged ones and discard them. A release with a newer format
//! writes its version to the folder before it writes other files.

use snafu::{ResultExt, Snafu};

use crate::directory::{Directory, DirectoryError};

/// The file with the version as a decimal number. Folders of the first releases do not have this file.
const FORMAT_FILE: &str = "format";

/// Why a folder cannot be used.
#[derive(Debug, Snafu)]
pub enum FormatError {
    /// A later release has written files to the folder.
    #[snafu(display(
        "the folder has format version {found}, but this release supports versions up to {supported}: \
         start the later release again"
    ))]
    UnsupportedVersion {
        /// The version of the folder.
        found: u32,
        /// The newest supported version.
        supported: u32,
    },
    /// The content of the format file is not a version.
    #[snafu(display("the file `{FORMAT_FILE}` does not contain a version"))]
    InvalidVersion,
    /// A file operation failed.
    #[snafu(display("{source}"))]
    Disk {
        /// The operation that failed.
        source: DirectoryError,
    },
}

/// Checks the format version of a folder. Writes `supported` to a folder with an older version or no version.
///
/// # Errors
///
/// Returns an error, without changing the folder, if the version is newer than `supported` or cannot be
/// read. Also returns an error if a file operation failed.
pub fn check_format<D: Directory>(directory: &mut D, supported: u32) -> Result<(), FormatError> {
    let content = directory.read(FORMAT_FILE).context(DiskSnafu)?.unwrap_or_default();
    match parse_version(&content)? {
        Some(found) if found > supported => UnsupportedVersionSnafu { found, supported }.fail(),
        Some(found) if found == supported => Ok(()),
        _ => write_version(directory, supported).context(DiskSnafu),
    }
}

/// Parses the content of the format file. The file may be empty or blank after a loss of power before its
/// first sync.
fn parse_version(content: &[u8]) -> Result<Option<u32>, FormatError> {
    let is_blank = |byte: &u8| *byte == 0 || byte.is_ascii_whitespace();
    if content.iter().all(is_blank) {
        return Ok(None);
    }
    let text = std::str::from_utf8(content).ok();
    let version = text.and_then(|text| text.trim_end_matches(['\n', '\0']).parse().ok());
    version.map(Some).ok_or(FormatError::InvalidVersion)
}

fn write_version<D: Directory>(directory: &mut D, version: u32) -> Result<(), DirectoryError> {
    directory.write_at(FORMAT_FILE, 0, format!("{version}\n").as_bytes())?;
    directory.sync(FORMAT_FILE)
}
