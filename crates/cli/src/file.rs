//! Files that the commands read and write.

use std::{
    fs,
    io::{self, Read as _, Write as _},
    os::unix::fs::{MetadataExt as _, OpenOptionsExt as _},
    path,
};

use crate::error;

/// Largest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// Mode of files with secrets: readable and writable by their owner only.
const SECRET_MODE: u32 = 0o600;

/// Mode bits that grant access to anyone but the owner.
const GROUP_AND_OTHERS_MASK: u32 = 0o077;

/// Reads a text file; `-` is the standard input.
///
/// # Errors
///
/// [`error::Kind::Usage`] if it can't be read, is too large or is not UTF-8.
pub fn read(file: &path::Path) -> error::Result<String> {
    if file == path::Path::new("-") {
        return read_text(file, io::stdin().lock());
    }
    let opened = fs::File::open(file).map_err(|cause| file_error("reading", file, &cause))?;
    read_text(file, opened)
}

/// Reads a file with a secret, which only its owner may read.
///
/// # Errors
///
/// [`error::Kind::Usage`] if others have access to it, or it can't be read.
pub fn read_secret(file: &path::Path) -> error::Result<String> {
    let opened = fs::File::open(file).map_err(|cause| file_error("reading", file, &cause))?;
    let metadata = opened.metadata().map_err(|cause| file_error("reading", file, &cause))?;
    let mode = metadata.mode();
    if mode & GROUP_AND_OTHERS_MASK != 0 {
        let reason = format!(
            "others may read it (mode {:03o}); run `chmod 600 {}` and replace the secret if \
             someone may have seen it",
            mode & 0o777,
            file.display()
        );
        return Err(file_error("reading", file, &reason));
    }
    read_text(file, opened)
}

/// Writes a secret to a new file; the file must not exist.
///
/// # Errors
///
/// [`error::Kind::Usage`] if it exists or can't be written.
pub fn write_secret(file: &path::Path, text: &str) -> error::Result<()> {
    let opened = fs::OpenOptions::new().write(true).create_new(true).mode(SECRET_MODE).open(file);
    let mut opened = opened.map_err(|cause| file_error("making", file, &cause))?;
    let written = writeln!(opened, "{text}").and_then(|()| opened.sync_all());
    written.map_err(|cause| file_error("writing", file, &cause))
}

/// Writes a text file and replaces its contents if it exists.
///
/// # Errors
///
/// [`error::Kind::Usage`] if it can't be written.
pub fn write(file: &path::Path, text: &str) -> error::Result<()> {
    fs::write(file, text).map_err(|cause| file_error("writing", file, &cause))
}

fn read_text(file: &path::Path, source: impl io::Read) -> error::Result<String> {
    let mut text = String::new();
    let read = source.take(MAX_FILE_BYTES + 1).read_to_string(&mut text);
    read.map_err(|cause| file_error("reading", file, &cause))?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(file_error("reading", file, &format!("has more than {MAX_FILE_BYTES} bytes")));
    }
    Ok(text)
}

fn file_error(step: &str, file: &path::Path, reason: &dyn std::fmt::Display) -> error::Error {
    error::Error::new(error::Kind::Usage, step, &file.display(), reason)
}
