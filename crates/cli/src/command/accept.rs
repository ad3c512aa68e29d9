//! `primroseplank accept`.

use std::{fmt::Write as _, path};

use bundle::signed;
use node::operator;

use crate::{client, error, file, outcome};

/// Puts the document in `file` in force.
pub(super) async fn run(
    client: &client::Client,
    file: &path::Path,
    replaces: Option<u64>,
    json: bool,
) -> error::Result<outcome::Outcome> {
    // A trailing line end would make it another document.
    let text = file::read(file)?.trim().to_owned();
    signed::Document::parse(&text).map_err(|cause| {
        let reason = format!("{cause}; sign the bundle first");
        error::Error::new(error::Kind::Usage, "reading", &file.display(), &reason)
    })?;
    let query = replaces.map_or(String::new(), |version| format!("?replaces={version}"));
    let request = client::Request::post(&format!("/v1/accept{query}"), text.clone());
    eprintln!("primroseplank: waiting until it is in force on every VM");
    let reply = client.send::<operator::Reply>(&request).await;
    let unknown = match reply {
        Ok(operator::Reply::Unknown { reason }) => reason,
        Ok(reply) => return outcome("accepting", reply, json),
        Err(error) if error.kind() == error::Kind::Unknown => error.to_string(),
        Err(error) => return Err(error),
    };
    Err(still_unknown(client, &text, &unknown).await)
}

/// What is said when a change has ended, or has not.
pub(super) fn outcome(
    step: &str,
    reply: operator::Reply,
    json: bool,
) -> error::Result<outcome::Outcome> {
    let operator::Reply::InForce { version, fenced } = &reply else {
        return Err(super::unexpected(step, reply));
    };
    if json {
        return Ok(outcome::Outcome::ok(super::json(&reply)));
    }
    let mut text = format!("in force as version {version} on every VM that serves");
    if !fenced.is_empty() {
        let names: Vec<_> = fenced.iter().map(ids::Vm::as_str).collect();
        _ = write!(
            text,
            "\nnot on these, which were silent; they are fenced and refuse calls until they know \
             version {version}: {}\nlook at them or replace them",
            names.join(", ")
        );
    }
    Ok(outcome::Outcome::ok(text))
}

/// Looks once more whether the document is in force, where the answer was lost.
async fn still_unknown(client: &client::Client, text: &str, reason: &str) -> error::Error {
    let digest = ids::Digest::of(text.as_bytes());
    let seen = client.send::<operator::Reply>(&client::Request::get("/v1/status")).await;
    let seen = match seen {
        Ok(operator::Reply::Status(status)) if status.bundle == Some(digest) => format!(
            "it is in force on {} as version {}; whether it is so on every VM is not known",
            status.vm, status.version
        ),
        Ok(operator::Reply::Status(status)) => format!(
            "it is not in force on {}, which has version {}; it may still come",
            status.vm, status.version
        ),
        _ => "no VM says what is in force".to_owned(),
    };
    let reason = format!("{reason}; {seen}; ask `primroseplank status` before trying again");
    error::Error::new(error::Kind::Unknown, "accepting", &"VM", &reason)
}
