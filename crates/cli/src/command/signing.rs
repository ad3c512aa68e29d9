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
        .map_err(|cause| fault(error::Kind::Usage, "reading", key, &cause))?;
    let text = file::read(file)?;
    let report = check::run(&text);
    if !report.is_ok() {
        eprint!("{}", super::check::words(file, &report));
        let reason = "a bundle with faults is not signed";
        return Err(fault(error::Kind::Refused, "signing", file, &reason));
    }
    let document = signed::sign(&text, &secret, signer, now()).to_json();
    let Some(output) = output else {
        return Ok(outcome::Outcome::ok(document));
    };
    file::write(output, &document)?;
    let digest = ids::Digest::of(document.as_bytes());
    let text = format!("{}: signed by {signer}, digest {digest}", output.display());
    Ok(outcome::Outcome::ok(text))
}

/// Says who signed the document in `file`, if it was with one of `keys`.
pub(super) fn verify(
    file: &path::Path,
    keys: &[String],
    json: bool,
) -> error::Result<outcome::Outcome> {
    let text = file::read(file)?.trim().to_owned();
    let refused = |cause| fault(error::Kind::Refused, "verifying", file, &cause);
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
        super::json(&value)
    } else {
        let age = age(opened.signed_at);
        format!(
            "signed by {} {age} ({} s since the epoch), deployment {}, digest {digest}",
            opened.signer, opened.signed_at, opened.bundle.deployment
        )
    };
    Ok(outcome::Outcome::ok(text))
}

/// Makes a signing key in the new file `output`.
pub(super) fn make(name: &str, output: &path::Path) -> error::Result<outcome::Outcome> {
    let secret = signed::Secret::new(random()?);
    file::write_secret(output, &secret.reveal())?;
    let text = format!(
        "{}: made, readable by its owner alone; keep it off the VMs\n\
         add to the settings of every VM, under `signers`:\n  - {{name: {name}, key: {}}}",
        output.display(),
        secret.public()
    );
    Ok(outcome::Outcome::ok(text))
}

/// Random bytes of the system.
///
/// # Errors
///
/// [`error::Kind::Usage`] if the system has none.
pub(super) fn random<const N: usize>() -> error::Result<[u8; N]> {
    let mut bytes = [0; N];
    let filled = getrandom::fill(&mut bytes);
    filled.map_err(|cause| {
        error::Error::new(error::Kind::Usage, "drawing", &"random numbers", &cause)
    })?;
    Ok(bytes)
}

/// Seconds since the epoch.
fn now() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

/// How long ago a moment is, in words.
pub(super) fn age(moment: u64) -> String {
    const UNITS: [(u64, &str); 3] = [(86_400, "days"), (3_600, "hours"), (60, "minutes")];
    let seconds = now().saturating_sub(moment);
    let unit = UNITS.iter().find(|(size, _)| seconds >= 2 * size);
    match unit {
        Some((size, name)) => format!("{} {name} ago", seconds / size),
        None => format!("{seconds} s ago"),
    }
}

fn fault(
    kind: error::Kind,
    step: &str,
    file: &path::Path,
    reason: &dyn std::fmt::Display,
) -> error::Error {
    error::Error::new(kind, step, &file.display(), reason)
}
