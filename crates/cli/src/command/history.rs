//! `primroseplank history`.

use std::fmt::Write as _;

use bundle::{amend, history, signed};
use node::operator;

use crate::{client, error, outcome};

/// A version with the changes that it made.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Line {
    version: ids::Version,
    changes: Vec<String>,
}

/// Lists the changes of the `last` versions, the newest last.
pub(super) async fn list(
    client: &client::Client,
    last: usize,
    json: bool,
) -> error::Result<outcome::Outcome> {
    let entries = fetch_entries(client).await?;
    // A version that changes only the membership refers to the same objects and is not listed.
    let same_objects = |one: &history::Entry, other: &history::Entry| {
        (one.bundle, one.amendments) == (other.bundle, other.amendments)
    };
    let mut distinct: Vec<history::Entry> = Vec::new();
    for entry in entries {
        if !distinct.last().is_some_and(|previous| same_objects(previous, &entry)) {
            distinct.push(entry);
        }
    }
    let first = distinct.len().saturating_sub(last);
    let mut lines = Vec::new();
    for index in first..distinct.len() {
        let previous = index.checked_sub(1).map(|previous| &distinct[previous]);
        let changes = describe(client, previous, &distinct[index]).await?;
        if !changes.is_empty() {
            lines.push(Line { version: distinct[index].version, changes });
        }
    }
    Ok(outcome::Outcome::ok(if json { super::to_json(&lines) } else { render(&lines) }))
}

fn render(lines: &[Line]) -> String {
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

/// Prints the signed document of `version`, which can be accepted again.
pub(super) async fn show(client: &client::Client, version: u64) -> error::Result<outcome::Outcome> {
    let not_found = || {
        let peer = format!("version {version}");
        let reason = "is not in the history, or had no bundle";
        error::Error::new(error::Kind::Refused, "looking up", &peer, &reason)
    };
    let entries = fetch_entries(client).await?;
    let entry = entries.into_iter().find(|entry| entry.version.get() == version);
    let document = entry.and_then(|entry| entry.bundle).ok_or_else(not_found)?;
    Ok(outcome::Outcome::ok(fetch_object(client, &document).await?))
}

async fn fetch_entries(client: &client::Client) -> error::Result<Vec<history::Entry>> {
    let reply = client.send(&client::Request::get("/v1/history")).await?;
    match reply {
        operator::Reply::History(entries) => Ok(entries),
        reply => Err(super::reply_error("reading the history", reply)),
    }
}

async fn fetch_object(client: &client::Client, digest: &ids::Digest) -> error::Result<String> {
    let path = format!("/v1/objects/{digest}");
    let reply = client.send(&client::Request::get(&path)).await?;
    match reply {
        operator::Reply::Document(text) => Ok(text.to_string()),
        reply => Err(super::reply_error("reading an object", reply)),
    }
}

/// Describes what `entry` changed against the entry `previous`.
async fn describe(
    client: &client::Client,
    previous: Option<&history::Entry>,
    entry: &history::Entry,
) -> error::Result<Vec<String>> {
    let mut changes = Vec::new();
    let old = previous.and_then(|previous| previous.bundle);
    if let Some(digest) = entry.bundle.filter(|new| old.as_ref() != Some(new)) {
        let text = fetch_object(client, &digest).await?;
        changes.push(describe_bundle(&digest, &text));
    }
    let old = previous.and_then(|previous| previous.amendments);
    if entry.amendments != old {
        let old = fetch_amendments(client, old).await?;
        let new = fetch_amendments(client, entry.amendments).await?;
        changes.extend(history::changes(&old, &new).iter().map(describe_change));
    }
    Ok(changes)
}

/// Fetches the amendments `digest`; none are stored before the first change.
async fn fetch_amendments(
    client: &client::Client,
    digest: Option<ids::Digest>,
) -> error::Result<amend::Amendments> {
    let Some(digest) = digest else {
        return Ok(amend::Amendments::default());
    };
    let text = fetch_object(client, &digest).await?;
    serde_json::from_str(&text).map_err(|cause| {
        error::Error::new(error::Kind::Unknown, "reading amendments", &digest, &cause)
    })
}

fn describe_bundle(digest: &ids::Digest, text: &str) -> String {
    match signed::Document::parse(text) {
        Ok(document) => {
            let age = super::signing::format_age(document.signed_at);
            format!("bundle {digest} signed by {} {age}", document.signer)
        }
        Err(_) => format!("bundle {digest}"),
    }
}

fn describe_change(change: &amend::Change) -> String {
    match change {
        amend::Change::Issue(issue) => format!("key {} issued to {}", issue.key.id, issue.account),
        amend::Change::Withdraw(key) => format!("key {key} withdrawn"),
        amend::Change::Drain(target) => format!("target {target} drained"),
        amend::Change::Return(target) => format!("target {target} returned"),
    }
}
