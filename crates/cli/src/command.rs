//! Implementation of the commands.

mod accept;
mod amend;
mod check;
mod diff;
mod drain;
mod history;
mod key;
mod progress;
mod signing;
mod status;

use std::path;

use node::operator;

use crate::{args, client, error, file, outcome};

/// Runs a parsed command line.
///
/// # Errors
///
/// As for [`crate::run`].
pub async fn run(line: args::Line) -> error::Result<outcome::Outcome> {
    let args::Line { command, remote, json } = line;
    let client = || client::Client::new(&remote);
    match command {
        args::Command::Check { bundle } => check::run(&bundle, json),
        args::Command::Diff { bundle, against: Some(old) } => diff::files(&old, &bundle, json),
        args::Command::Diff { bundle, against: None } => {
            diff::in_force(&client()?, &bundle, json).await
        }
        args::Command::Sign { bundle, key, signer, output } => {
            signing::sign(&bundle, &key, &signer, output.as_deref())
        }
        args::Command::Verify { document, keys } => signing::verify(&document, &keys, json),
        args::Command::Signer { command: args::Signer::New { name, output } } => {
            signing::new_signer(&name, &output)
        }
        args::Command::Accept { document, replaces } => {
            accept::run(&client()?, &document, replaces, json).await
        }
        args::Command::History { show: None, last } => history::list(&client()?, last, json).await,
        args::Command::History { show: Some(version), .. } => {
            history::show(&client()?, version).await
        }
        args::Command::Key { command } => key::run(&client()?, command, json).await,
        args::Command::Drain { target, wait, status } => {
            let options = drain::Options { change: !status, wait, timeout: remote.timeout() };
            drain::run(&client()?, &target.as_str().into(), options, json).await
        }
        args::Command::Return { target } => amend::undrain(&client()?, &target, json).await,
        args::Command::State => status::state(&client()?).await,
        args::Command::Status => status::run(&client()?, json).await,
    }
}

/// Fetches the signed document in force; refused before the first bundle is accepted.
async fn document_in_force(client: &client::Client) -> error::Result<bundle::signed::Document> {
    let reply = client.send(&client::Request::get("/v1/bundle")).await?;
    let operator::Reply::Document(text) = reply else {
        return Err(reply_error("reading the bundle in force", reply));
    };
    bundle::signed::Document::parse(&text).map_err(|cause| {
        error::Error::new(error::Kind::Unknown, "reading", &"bundle in force", &cause)
    })
}

/// Parses the bundle in `text`, which is YAML or a signed document.
///
/// `file` is only named in errors.
fn parse_bundle(file: &path::Path, text: &str) -> error::Result<bundle::Bundle> {
    let inner = bundle::signed::Document::parse(text).map(|document| document.bundle);
    let yaml = inner.as_deref().unwrap_or(text);
    bundle::read(yaml).map_err(|cause| {
        let reason = format!("{cause}; run `primroseplank check` to see all faults");
        error::Error::new(error::Kind::Refused, "reading", &file.display(), &reason)
    })
}

/// Reads the bundle in `file`, which is YAML or a signed document.
fn read_bundle(file: &path::Path) -> error::Result<bundle::Bundle> {
    parse_bundle(file, &file::read(file)?)
}

/// The error for a reply that `step` can't use: refused, unknown or unexpected.
fn reply_error(step: &str, reply: operator::Reply) -> error::Error {
    let (kind, reason) = match reply {
        operator::Reply::Refused { reason } => (error::Kind::Refused, reason),
        operator::Reply::Unknown { reason } => (error::Kind::Unknown, reason),
        _ => (error::Kind::Unknown, "the VM gave another kind of answer".to_owned()),
    };
    error::Error::new(kind, step, &"VM", &reason)
}

/// Formats a value as indented JSON.
fn to_json(value: &impl serde::Serialize) -> String {
    format!("{:#}", serde_json::json!(value))
}
