//! `primroseplank diff`.

use std::path;

use bundle::diff;

use crate::{client, error, outcome};

/// Compares two files.
pub(super) fn files(
    old: &path::Path,
    new: &path::Path,
    json: bool,
) -> error::Result<outcome::Outcome> {
    Ok(show(&super::read(old)?, &super::read(new)?, json))
}

/// Compares a file with the bundle in force.
pub(super) async fn in_force(
    client: &client::Client,
    new: &path::Path,
    json: bool,
) -> error::Result<outcome::Outcome> {
    let new = super::read(new)?;
    let document = super::document(client).await?;
    let old = super::parse(path::Path::new("bundle in force"), &document.to_json())?;
    Ok(show(&old, &new, json))
}

fn show(old: &bundle::Bundle, new: &bundle::Bundle, json: bool) -> outcome::Outcome {
    let diff = diff::Diff::new(old, new);
    outcome::Outcome::ok(if json { super::json(&diff) } else { diff.to_string() })
}
