//! `primroseplank history`.

use std::fmt::Write as _;

use bundle::{amend, history, signed};
use node::operator;

use crate::{client, error, outcome};

/// A version and what it changed.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Line {
    version: ids::Version,
    changes: Vec<String>,
}

/// Lists the `last` changes of what is in force, the newest last.
pub(super) async fn list(
    client: &client::Client,
    last: usize,
    json: bool,
) -> error::Result<outcome::Outcome> {
    let entries = entries(client).await?;
    // A version that changes only the members has the same objects.
    let same = |one: &history::Entry, other: &history::Entry| {
        (one.bundle, one.amendments) == (other.bundle, other.amendments)
    };
    let mut distinct: Vec<history::Entry> = Vec::new();
    for entry in entries {
        if !distinct.last().is_some_and(|before| same(before, &entry)) {
            distinct.push(entry);
        }
    }
    let first = distinct.len().saturating_sub(last);
    let mut lines = Vec::new();
    for index in first..distinct.len() {
        let before = index.checked_sub(1).map(|before| &distinct[before]);
        let changes = words(client, before, &distinct[index]).await?;
        if !changes.is_empty() {
            lines.push(Line { version: distinct[index].version, changes });
        }
    }
    Ok(outcome::Outcome::ok(if json { super::json(&lines) } else { table(&lines) }))
}

fn table(lines: &[Line]) -> String {
    let mut text = String::new();
    for line in lines {
        for change in &line.changes {
            _ = writeln!(text, "{:>6}  {change}", line.version);
        }
    }
    if text.is_empty() {
        text.push_str("nothing has been in force yet\n");
    }
    text
}

/// Prints the signed document of `version`, to be accepted anew.
pub(super) async fn show(client: &client::Client, version: u64) -> error::Result<outcome::Outcome> {
    let refused = || {
        let peer = format!("version {version}");
        let reason = "is not in the history, or had no bundle";
        error::Error::new(error::Kind::Refused, "looking up", &peer, &reason)
    };
    let entries = entries(client).await?;
    let entry = entries.into_iter().find(|entry| entry.version.get() == version);
    let document = entry.and_then(|entry| entry.bundle).ok_or_else(refused)?;
    Ok(outcome::Outcome::ok(object(client, &document).await?))
}

async fn entries(client: &client::Client) -> error::Result<Vec<history::Entry>> {
    let reply = client.send(&client::Request::get("/v1/history")).await?;
    match reply {
        operator::Reply::History(entries) => Ok(entries),
        reply => Err(super::unexpected("reading the history", reply)),
    }
}

async fn object(client: &client::Client, digest: &ids::Digest) -> error::Result<String> {
    let path = format!("/v1/objects/{digest}");
    let reply = client.send(&client::Request::get(&path)).await?;
    match reply {
        operator::Reply::Document(text) => Ok(text.to_string()),
        reply => Err(super::unexpected("reading an object", reply)),
    }
}

/// What `entry` changed.
async fn words(
    client: &client::Client,
    before: Option<&history::Entry>,
    entry: &history::Entry,
) -> error::Result<Vec<String>> {
    let mut words = Vec::new();
    let old = before.and_then(|before| before.bundle);
    if let Some(digest) = entry.bundle.filter(|new| old.as_ref() != Some(new)) {
        let text = object(client, &digest).await?;
        words.push(bundle_words(&digest, &text));
    }
    let old = before.and_then(|before| before.amendments);
    if entry.amendments != old {
        let old = amendments(client, old).await?;
        let new = amendments(client, entry.amendments).await?;
        words.extend(history::changes(&old, &new).iter().map(change_words));
    }
    Ok(words)
}

async fn amendments(
    client: &client::Client,
    digest: Option<ids::Digest>,
) -> error::Result<amend::Amendments> {
    let Some(digest) = digest else {
        return Ok(amend::Amendments::default());
    };
    let text = object(client, &digest).await?;
    serde_json::from_str(&text).map_err(|cause| {
        error::Error::new(error::Kind::Unknown, "reading amendments", &digest, &cause)
    })
}

fn bundle_words(digest: &ids::Digest, text: &str) -> String {
    match signed::Document::parse(text) {
        Ok(document) => {
            let age = super::signing::age(document.signed_at);
            format!("bundle {digest} signed by {} {age}", document.signer)
        }
        Err(_) => format!("bundle {digest}"),
    }
}

fn change_words(change: &amend::Change) -> String {
    match change {
        amend::Change::Issue(issue) => format!("key {} issued to {}", issue.key.id, issue.account),
        amend::Change::Withdraw(key) => format!("key {key} withdrawn"),
        amend::Change::Drain(target) => format!("target {target} drained"),
        amend::Change::Return(target) => format!("target {target} returned"),
    }
}
