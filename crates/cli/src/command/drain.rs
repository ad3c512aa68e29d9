//! `primroseplank drain`.

use std::time;

use bundle::amend;

use super::{amend as change, progress, status};
use crate::{client, error, outcome};

/// Time between two looks at the open calls.
const PAUSE: time::Duration = time::Duration::from_millis(500);

/// What is wanted of a drain.
#[derive(Clone, Copy, Debug)]
pub(super) struct Want {
    /// Whether the target is to be drained, and not only looked at.
    pub(super) change: bool,
    /// Whether to wait until no call is open there.
    pub(super) wait: bool,
    /// Longest wait.
    pub(super) timeout: time::Duration,
}

/// Gives `target` no new work, and tells how far that has come.
pub(super) async fn run(
    client: &client::Client,
    target: &ids::Target,
    want: Want,
    json: bool,
) -> error::Result<outcome::Outcome> {
    if !want.change {
        return follow(client, target, want, json).await;
    }
    let reply = change::send(client, &amend::Change::Drain(target.clone())).await?;
    let done = super::accept::outcome("draining", reply, json)?;
    if want.wait {
        eprint!("{}", done.text);
        return follow(client, target, want, json).await;
    }
    if json {
        return Ok(done);
    }
    let more = format!(
        "{}{target} gets no new work; `primroseplank drain {target} --status` tells what is open \
         there, `primroseplank return {target}` undoes it",
        done.text
    );
    Ok(outcome::Outcome::ok(more))
}

/// Looks at the drain once, or until no call is open.
async fn follow(
    client: &client::Client,
    target: &ids::Target,
    want: Want,
    json: bool,
) -> error::Result<outcome::Outcome> {
    let begun = time::Instant::now();
    let mut said = String::new();
    loop {
        let seen = status::ask_all(client).await;
        let drain = progress::Drain::new(target, &status::known(&seen));
        let text = drain.to_string();
        if !want.wait || drain.is_done() {
            return Ok(outcome::Outcome::ok(if json { super::json(&drain) } else { text }));
        }
        if begun.elapsed() >= want.timeout {
            let reason = format!("{text}; the drain goes on, look again with --status");
            return Err(error::Error::new(error::Kind::Unknown, "draining", target, &reason));
        }
        if text != said {
            eprintln!("{text}");
            said = text;
        }
        tokio::time::sleep(PAUSE).await;
    }
}
