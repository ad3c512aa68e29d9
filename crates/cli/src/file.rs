//! Files that the commands read and make.

use std::{
    fs,
    io::{self, Read as _, Write as _},
    os::unix::fs::{MetadataExt as _, OpenOptionsExt as _},
    path,
};

use crate::error;

/// Largest file that is read, in bytes.
const MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Access rights of files with secrets: of their owner alone.
const SECRET_MODE: u32 = 0o600;

/// Access rights of anyone but the owner.
const OTHERS: u32 = 0o077;

/// Reads a text file; `-` is the standard input.
///
/// # Errors
///
/// [`error::Kind::Usage`] if it can't be read, is too large or no UTF-8 text.
pub fn read(file: &path::Path) -> error::Result<String> {
    if file == path::Path::new("-") {
        return text(file, io::stdin().lock());
    }
    let opened = fs::File::open(file).map_err(|cause| fault("reading", file, &cause))?;
    text(file, opened)
}

/// Reads a file with a secret, which only its owner may read.
///
/// # Errors
///
/// [`error::Kind::Usage`] if others may read it, or it can't be read.
pub fn read_secret(file: &path::Path) -> error::Result<String> {
    let opened = fs::File::open(file).map_err(|cause| fault("reading", file, &cause))?;
    let metadata = opened.metadata().map_err(|cause| fault("reading", file, &cause))?;
    let mode = metadata.mode();
    if mode & OTHERS != 0 {
        let reason = format!(
            "others may read it (mode {:03o}); run `chmod 600 {}` and replace the secret if \
             someone may have seen it",
            mode & 0o777,
            file.display()
        );
        return Err(fault("reading", file, &reason));
    }
    text(file, opened)
}

/// Makes a file with a secret; it must not be there yet.
///
/// # Errors
///
/// [`error::Kind::Usage`] if it is there or can't be made.
pub fn write_secret(file: &path::Path, text: &str) -> error::Result<()> {
    let opened = fs::OpenOptions::new().write(true).create_new(true).mode(SECRET_MODE).open(file);
    let mut opened = opened.map_err(|cause| fault("making", file, &cause))?;
    let written = writeln!(opened, "{text}").and_then(|()| opened.sync_all());
    written.map_err(|cause| fault("writing", file, &cause))
}

/// Writes a text file in place of what is there.
///
/// # Errors
///
/// [`error::Kind::Usage`] if it can't be written.
pub fn write(file: &path::Path, text: &str) -> error::Result<()> {
    fs::write(file, text).map_err(|cause| fault("writing", file, &cause))
}

fn text(file: &path::Path, source: impl io::Read) -> error::Result<String> {
    let mut text = String::new();
    let read = source.take(MAX_BYTES + 1).read_to_string(&mut text);
    read.map_err(|cause| fault("reading", file, &cause))?;
    if text.len() as u64 > MAX_BYTES {
        return Err(fault("reading", file, &format!("has more than {MAX_BYTES} bytes")));
    }
    Ok(text)
}

fn fault(step: &str, file: &path::Path, reason: &dyn std::fmt::Display) -> error::Error {
    error::Error::new(error::Kind::Usage, step, &file.display(), reason)
}
