//! `primroseplank accept`.

use std::{fmt::Write as _, path};

use bundle::signed;
use node::operator;

use crate::{client, error, file, outcome};

/// Sends the document in `file` to a VM, which puts it in force.
pub(super) async fn run(
    client: &client::Client,
    file: &path::Path,
    replaces: Option<u64>,
    json: bool,
) -> error::Result<outcome::Outcome> {
    // The digest covers the text as sent, so a trailing newline would change it.
    let text = file::read(file)?.trim().to_owned();
    signed::Document::parse(&text).map_err(|cause| {
        let reason = format!("{cause}; sign the bundle first");
        error::Error::new(error::Kind::Usage, "reading", &file.display(), &reason)
    })?;
    let query = replaces.map_or(String::new(), |version| format!("?replaces={version}"));
    let request = client::Request::post(&format!("/v1/accept{query}"), text.clone());
    eprintln!("primroseplank: waiting until it is in force on every VM");
    let reply = client.send::<operator::Reply>(&request).await;
    let reason = match reply {
        Ok(operator::Reply::Unknown { reason }) => reason,
        Ok(reply) => return render("accepting", reply, json),
        Err(error) if error.kind() == error::Kind::Unknown => error.to_string(),
        Err(error) => return Err(error),
    };
    Err(unknown_error(client, &text, &reason).await)
}

/// Renders the reply to a change; an error if the change is not in force.
pub(super) fn render(
    step: &str,
    reply: operator::Reply,
    json: bool,
) -> error::Result<outcome::Outcome> {
    let operator::Reply::InForce { version, fenced } = &reply else {
        return Err(super::reply_error(step, reply));
    };
    if json {
        return Ok(outcome::Outcome::ok(super::to_json(&reply)));
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

/// The error for a change whose result is not known, with what a VM has in force now.
async fn unknown_error(client: &client::Client, text: &str, reason: &str) -> error::Error {
    let digest = ids::Digest::of(text.as_bytes());
    let observed = client.send::<operator::Reply>(&client::Request::get("/v1/status")).await;
    let observed = match observed {
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
    let reason = format!("{reason}; {observed}; ask `primroseplank status` before trying again");
    error::Error::new(error::Kind::Unknown, "accepting", &"VM", &reason)
}
