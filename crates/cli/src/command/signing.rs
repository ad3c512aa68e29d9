//! `primroseplank sign`, `verify` and `signer new`.

use std::{path, time};

use bundle::{check, signed};

use crate::{error, file, outcome};

/// Signs the bundle in `file` if it passes the check.
pub(super) fn sign(
    file: &path::Path,
    key: &path::Path,
    signer: &str,
    output: Option<&path::Path>,
) -> error::Result<outcome::Outcome> {
    let secret = signed::Secret::parse(&file::read_secret(key)?)
        .map_err(|cause| file_error(error::Kind::Usage, "reading", key, &cause))?;
    let text = file::read(file)?;
    let report = check::run(&text);
    if !report.is_ok() {
        eprint!("{}", super::check::render(file, &report));
        let reason = "a bundle with faults is not signed";
        return Err(file_error(error::Kind::Refused, "signing", file, &reason));
    }
    let document = signed::sign(&text, &secret, signer, unix_time()).to_json();
    let Some(output) = output else {
        return Ok(outcome::Outcome::ok(document));
    };
    file::write(output, &document)?;
    let digest = ids::Digest::of(document.as_bytes());
    let text = format!("{}: signed by {signer}, digest {digest}", output.display());
    Ok(outcome::Outcome::ok(text))
}

/// Verifies that the document in `file` was signed with one of `keys` and prints its signer.
pub(super) fn verify(
    file: &path::Path,
    keys: &[String],
    json: bool,
) -> error::Result<outcome::Outcome> {
    let text = file::read(file)?.trim().to_owned();
    let refused = |cause| file_error(error::Kind::Refused, "verifying", file, &cause);
    let document = signed::Document::parse(&text).map_err(refused)?;
    let signer = |key: &String| {
        let key = signed::Public::try_from(key.clone());
        let key = key.map_err(|cause| {
            error::Error::new(error::Kind::Usage, "reading", &"--signer-key", &cause)
        })?;
        Ok(signed::Signer::new(&document.signer, key))
    };
    let signers: Vec<_> = keys.iter().map(signer).collect::<error::Result<_>>()?;
    let opened = signed::open(&text, &signers).map_err(refused)?;
    let digest = ids::Digest::of(text.as_bytes());
    let text = if json {
        let (signer, signed_at) = (&opened.signer, opened.signed_at);
        let value = serde_json::json!({"signer": signer, "signed_at": signed_at, "digest": digest});
        super::to_json(&value)
    } else {
        let age = format_age(opened.signed_at);
        format!(
            "signed by {} {age} ({} s since the epoch), deployment {}, digest {digest}",
            opened.signer, opened.signed_at, opened.bundle.deployment
        )
    };
    Ok(outcome::Outcome::ok(text))
}

/// Generates a signing key and writes it to the new file `output`.
pub(super) fn new_signer(name: &str, output: &path::Path) -> error::Result<outcome::Outcome> {
    let secret = signed::Secret::new(random_bytes()?);
    file::write_secret(output, &secret.reveal())?;
    let text = format!(
        "{}: made, readable by its owner alone; keep it off the VMs\n\
         add to the settings of every VM, under `signers`:\n  - {{name: {name}, key: {}}}",
        output.display(),
        secret.public()
    );
    Ok(outcome::Outcome::ok(text))
}

/// Draws random bytes from the operating system.
///
/// # Errors
///
/// [`error::Kind::Usage`] if the system can't provide them.
pub(super) fn random_bytes<const N: usize>() -> error::Result<[u8; N]> {
    let mut bytes = [0; N];
    let filled = getrandom::fill(&mut bytes);
    filled.map_err(|cause| {
        error::Error::new(error::Kind::Usage, "drawing", &"random numbers", &cause)
    })?;
    Ok(bytes)
}

/// Returns the time in seconds since the Unix epoch.
fn unix_time() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}

/// Formats how long ago `moment` was, in seconds since the Unix epoch.
pub(super) fn format_age(moment: u64) -> String {
    const UNITS: [(u64, &str); 3] = [(86_400, "days"), (3_600, "hours"), (60, "minutes")];
    let seconds = unix_time().saturating_sub(moment);
    let unit = UNITS.iter().find(|(size, _)| seconds >= 2 * size);
    match unit {
        Some((size, name)) => format!("{} {name} ago", seconds / size),
        None => format!("{seconds} s ago"),
    }
}

fn file_error(
    kind: error::Kind,
    step: &str,
    file: &path::Path,
    reason: &dyn std::fmt::Display,
) -> error::Error {
    error::Error::new(kind, step, &file.display(), reason)
}
