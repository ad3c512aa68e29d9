//! `primroseplank diff`.

use std::path;

use bundle::diff;

use crate::{client, error, outcome};

/// Compares the bundles in two files.
pub(super) fn files(
    old: &path::Path,
    new: &path::Path,
    json: bool,
) -> error::Result<outcome::Outcome> {
    Ok(render(&super::read_bundle(old)?, &super::read_bundle(new)?, json))
}

/// Compares the bundle in a file with the one in force.
pub(super) async fn in_force(
    client: &client::Client,
    new: &path::Path,
    json: bool,
) -> error::Result<outcome::Outcome> {
    let new = super::read_bundle(new)?;
    let document = super::document_in_force(client).await?;
    let old = super::parse_bundle(path::Path::new("bundle in force"), &document.to_json())?;
    Ok(render(&old, &new, json))
}

fn render(old: &bundle::Bundle, new: &bundle::Bundle, json: bool) -> outcome::Outcome {
    let diff = diff::Diff::new(old, new);
    outcome::Outcome::ok(if json { super::to_json(&diff) } else { diff.to_string() })
}
