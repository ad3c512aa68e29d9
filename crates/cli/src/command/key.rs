//! `primroseplank key`.

use std::fmt::Write as _;

use bundle::{amend, key};
use node::operator;

use crate::{args, client, error, outcome};

/// Random bytes in a generated key id.
const ID_BYTES: usize = 4;

/// A key as it is listed.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Entry {
    account: ids::Account,
    id: ids::Key,
    /// Where the key was declared: `bundle` or `issued`.
    origin: &'static str,
    withdrawn: bool,
}

/// Issues, lists, withdraws or rotates keys.
pub(super) async fn run(
    client: &client::Client,
    command: args::Key,
    json: bool,
) -> error::Result<outcome::Outcome> {
    match command {
        args::Key::Issue { account, id } => {
            check_account(client, &account).await?;
            issue(client, &account, id, json).await
        }
        args::Key::List => list(client, json).await,
        args::Key::Withdraw { id } => {
            let change = amend::Change::Withdraw(id.as_str().into());
            let reply = super::amend::send(client, &change).await?;
            super::accept::render("withdrawing", reply, json)
        }
        args::Key::Rotate { id, new_id, withdraw } => {
            rotate(client, &id, new_id, withdraw, json).await
        }
    }
}

/// Refuses an account that is not in the bundle in force.
async fn check_account(client: &client::Client, account: &str) -> error::Result<()> {
    let bundle = bundle_in_force(client).await?;
    if bundle.accounts.iter().any(|known| known.name.as_str() == account) {
        return Ok(());
    }
    let names: Vec<_> = bundle.accounts.iter().map(|account| account.name.as_str()).collect();
    let reason = format!("is not in the bundle in force; there are: {}", names.join(", "));
    Err(error::Error::new(error::Kind::Refused, "looking up the account", &account, &reason))
}

async fn bundle_in_force(client: &client::Client) -> error::Result<bundle::Bundle> {
    let document = super::document_in_force(client).await?;
    bundle::read(&document.bundle).map_err(|cause| {
        error::Error::new(error::Kind::Unknown, "reading", &"bundle in force", &cause)
    })
}

async fn issue(
    client: &client::Client,
    account: &str,
    id: Option<String>,
    json: bool,
) -> error::Result<outcome::Outcome> {
    let id = match id {
        Some(id) => id,
        None => format!("{account}-{}", hex::encode(super::signing::random_bytes::<ID_BYTES>()?)),
    };
    let id = ids::Key::from(id.replace('.', "-"));
    let secret = key::Secret::new(&id, &super::signing::random_bytes()?);
    let change =
        amend::Change::Issue(amend::Issue { account: account.into(), key: secret.entry(&id) });
    let reply = super::amend::send(client, &change).await;
    let outcome = reply.and_then(|reply| super::accept::render("issuing", reply, json));
    let text = if json {
        super::to_json(&serde_json::json!({"id": id, "key": secret.reveal()}))
    } else {
        format!("key {id} of {account}, shown this once:\n{}", secret.reveal())
    };
    match outcome {
        Ok(accepted) if json => Ok(outcome::Outcome::new(accepted.exit, text)),
        Ok(accepted) => {
            Ok(outcome::Outcome::new(accepted.exit, format!("{}{text}", accepted.text)))
        }
        // The key may come into force, and it could not be used if it was not shown now.
        Err(error) if error.kind() == error::Kind::Unknown => {
            eprintln!("primroseplank: {error}; the key may come into force");
            Ok(outcome::Outcome::new(outcome::Exit::Unknown, text))
        }
        Err(error) => Err(error),
    }
}

async fn rotate(
    client: &client::Client,
    id: &str,
    new_id: Option<String>,
    withdraw: bool,
    json: bool,
) -> error::Result<outcome::Outcome> {
    let entries = fetch_entries(client).await?;
    let old = entries.into_iter().find(|entry| entry.id.as_str() == id && !entry.withdrawn);
    let not_found = || {
        let reason = "no such key is in force; see `primroseplank key list`";
        error::Error::new(error::Kind::Refused, "looking up the key", &id, &reason)
    };
    let old = old.ok_or_else(not_found)?;
    let mut outcome = issue(client, old.account.as_str(), new_id, json).await?;
    if outcome.exit != outcome::Exit::Success {
        return Ok(outcome);
    }
    if withdraw {
        let reply = super::amend::send(client, &amend::Change::Withdraw(old.id)).await?;
        let withdrawn = super::accept::render("withdrawing the old key", reply, json)?;
        if !json {
            _ = write!(outcome.text, "{id} is withdrawn: {}", withdrawn.text);
        }
    } else if !json {
        _ = writeln!(
            outcome.text,
            "{id} goes on; once its callers have the new one, run `primroseplank key withdraw {id}`"
        );
    }
    Ok(outcome)
}

async fn list(client: &client::Client, json: bool) -> error::Result<outcome::Outcome> {
    let entries = fetch_entries(client).await?;
    if json {
        return Ok(outcome::Outcome::ok(super::to_json(&entries)));
    }
    let width = |text: fn(&Entry) -> &str| {
        entries.iter().map(|entry| text(entry).len()).max().unwrap_or_default()
    };
    let account = width(|entry| entry.account.as_str());
    let id = width(|entry| entry.id.as_str());
    let mut text = String::new();
    for entry in &entries {
        let state = if entry.withdrawn { "withdrawn" } else { "admitted" };
        _ = writeln!(
            text,
            "{:account$}  {:id$}  {:6}  {state}",
            entry.account.as_str(),
            entry.id.as_str(),
            entry.origin
        );
    }
    Ok(outcome::Outcome::ok(text))
}

/// Fetches all keys of the bundle and of the amendments, sorted by account and id.
async fn fetch_entries(client: &client::Client) -> error::Result<Vec<Entry>> {
    let bundle = bundle_in_force(client).await?;
    let reply = client.send(&client::Request::get("/v1/amendments")).await?;
    let operator::Reply::Amendments(amendments) = reply else {
        return Err(super::reply_error("reading the amendments", reply));
    };
    let entry = |account: &ids::Account, key: &key::Entry, origin| Entry {
        account: account.clone(),
        id: key.id.clone(),
        origin,
        withdrawn: amendments.withdrawn.contains(&key.id),
    };
    let mut entries = Vec::new();
    for account in &bundle.accounts {
        entries.extend(account.keys.iter().map(|key| entry(&account.name, key, "bundle")));
    }
    entries
        .extend(amendments.issued.iter().map(|issue| entry(&issue.account, &issue.key, "issued")));
    entries.sort_by(|one, other| (&one.account, &one.id).cmp(&(&other.account, &other.id)));
    Ok(entries)
}
