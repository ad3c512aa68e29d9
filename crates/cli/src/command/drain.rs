//! `primroseplank drain`.

use std::time;

use bundle::amend;

use super::{amend as amendment, progress, status};
use crate::{client, error, outcome};

/// Interval between two queries of the open calls.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Options of the command.
#[derive(Clone, Copy, Debug)]
pub(super) struct Options {
    /// Whether to start the drain; otherwise only its progress is reported.
    pub(super) change: bool,
    /// Whether to wait until the target has no open call.
    pub(super) wait: bool,
    /// Longest time to wait.
    pub(super) timeout: time::Duration,
}

/// Drains `target`, or reports the progress of its drain.
pub(super) async fn run(
    client: &client::Client,
    target: &ids::Target,
    options: Options,
    json: bool,
) -> error::Result<outcome::Outcome> {
    if !options.change {
        return report_progress(client, target, options, json).await;
    }
    let reply = amendment::send(client, &amend::Change::Drain(target.clone())).await?;
    let outcome = super::accept::render("draining", reply, json)?;
    if options.wait {
        eprint!("{}", outcome.text);
        return report_progress(client, target, options, json).await;
    }
    if json {
        return Ok(outcome);
    }
    let text = format!(
        "{}{target} gets no new work; `primroseplank drain {target} --status` shows what is open \
         there, `primroseplank return {target}` undoes it",
        outcome.text
    );
    Ok(outcome::Outcome::ok(text))
}

/// Reports the progress of the drain once, or until no call is open.
async fn report_progress(
    client: &client::Client,
    target: &ids::Target,
    options: Options,
    json: bool,
) -> error::Result<outcome::Outcome> {
    let started = time::Instant::now();
    let mut printed = String::new();
    loop {
        let replies = status::query_all(client).await;
        let drain = progress::Drain::new(target, &status::answered(&replies));
        let text = drain.to_string();
        if !options.wait || drain.is_done() {
            return Ok(outcome::Outcome::ok(if json { super::to_json(&drain) } else { text }));
        }
        if started.elapsed() >= options.timeout {
            let reason = format!("{text}; the drain goes on, look again with --status");
            return Err(error::Error::new(error::Kind::Unknown, "draining", target, &reason));
        }
        if text != printed {
            eprintln!("{text}");
            printed = text;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
