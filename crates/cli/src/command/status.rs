//! `primroseplank status` and `state`.

use std::{collections, fmt::Write as _, net};

use node::operator;

use crate::{client, error, outcome};

/// What a VM says of itself, or why it says nothing.
pub(super) struct Seen {
    address: net::SocketAddr,
    status: error::Result<operator::Status>,
}

/// Prints the dump of the first VM that can be reached.
pub(super) async fn state(client: &client::Client) -> error::Result<outcome::Outcome> {
    let reply = client.send(&client::Request::get("/state")).await?;
    match reply {
        operator::Reply::State(state) => Ok(outcome::Outcome::ok(super::json(&state))),
        reply => Err(super::unexpected("reading the state", reply)),
    }
}

/// Asks every VM that is given.
pub(super) async fn run(client: &client::Client, json: bool) -> error::Result<outcome::Outcome> {
    let seen = ask_all(client).await;
    let text = if json { as_json(&seen) } else { screen(&seen) };
    Ok(outcome::Outcome::new(exit(&seen), text))
}

/// What each VM that is given says.
pub(super) async fn ask_all(client: &client::Client) -> Vec<Seen> {
    let mut seen = Vec::new();
    for address in client.vms() {
        let status = ask(client, *address).await;
        seen.push(Seen { address: *address, status });
    }
    seen
}

/// The statuses of the VMs that answered.
pub(super) fn known(seen: &[Seen]) -> Vec<&operator::Status> {
    seen.iter().filter_map(|seen| seen.status.as_ref().ok()).collect()
}

async fn ask(client: &client::Client, address: net::SocketAddr) -> error::Result<operator::Status> {
    let reply = client.send_to(address, &client::Request::get("/v1/status")).await?;
    match reply {
        operator::Reply::Status(status) => Ok(*status),
        reply => Err(super::unexpected("reading the status", reply)),
    }
}

fn exit(seen: &[Seen]) -> outcome::Exit {
    if seen.iter().all(|seen| seen.status.is_err()) {
        return outcome::Exit::Unknown;
    }
    let well = |seen: &Seen| seen.status.as_ref().is_ok_and(|status| faults(status).is_empty());
    if seen.iter().all(well) && versions(seen).len() < 2 {
        return outcome::Exit::Success;
    }
    outcome::Exit::Refused
}

/// What is wrong on a VM, each with what to do.
fn faults(status: &operator::Status) -> Vec<String> {
    let mut faults = status.alarms.clone();
    // An alarm that names the matter says it already, and better.
    let told = |matter: &str| status.alarms.iter().any(|alarm| alarm.contains(matter));
    if status.bundle.is_none() {
        faults.push("no bundle is in force: run `primroseplank accept`".to_owned());
    }
    if !status.ready && !told(&status.reason) {
        faults.push(format!("serves nobody: {}; it gets no calls", status.reason));
    }
    for item in status.unreachable.iter().filter(|item| !told(item)) {
        faults.push(format!("no ready copy of {item}: look at `primroseplank state`"));
    }
    faults
}

/// The names of the VMs on which each thing is wrong.
fn by_fault(seen: &[Seen]) -> collections::BTreeMap<String, Vec<&str>> {
    let mut vms = collections::BTreeMap::new();
    for status in seen.iter().filter_map(|seen| seen.status.as_ref().ok()) {
        for fault in faults(status) {
            let names: &mut Vec<_> = vms.entry(fault).or_default();
            names.push(&*status.vm);
        }
    }
    vms
}

/// The versions in force on the VMs that serve.
fn versions(seen: &[Seen]) -> Vec<ids::Version> {
    let serving = seen.iter().filter_map(|seen| seen.status.as_ref().ok());
    let mut versions: Vec<_> =
        serving.filter(|status| status.ready).map(|status| status.version).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

fn as_json(seen: &[Seen]) -> String {
    let entry = |seen: &Seen| match &seen.status {
        Ok(status) => serde_json::json!({
            "address": seen.address, "status": status, "wrong": faults(status),
        }),
        Err(error) => serde_json::json!({
            "address": seen.address, "error": error.to_string(),
        }),
    };
    super::json(&seen.iter().map(entry).collect::<Vec<_>>())
}

/// Whether callers are served, each VM in a line, and what is wrong.
fn screen(seen: &[Seen]) -> String {
    let ready = |seen: &&Seen| seen.status.as_ref().is_ok_and(|status| status.ready);
    let serving = seen.iter().filter(ready).count();
    let mut text = match serving {
        0 => "callers are NOT served by any VM that was asked\n".to_owned(),
        _ => format!("callers are served by {serving} of {} VMs that were asked\n", seen.len()),
    };
    let mut wrong = Vec::new();
    for Seen { address, status } in seen {
        match status {
            Ok(status) => {
                line(&mut text, *address, status);
            }
            Err(error) => {
                _ = writeln!(text, "  {address}  does not answer");
                wrong.push(format!(
                    "{error}; look at its machine and its log, and replace it if it stays silent"
                ));
            }
        }
    }
    for (fault, vms) in by_fault(seen) {
        wrong.push(format!("{}: {fault}", vms.join(", ")));
    }
    let versions = versions(seen);
    if versions.len() > 1 {
        let versions: Vec<_> = versions.iter().map(ToString::to_string).collect();
        wrong.push(format!(
            "VMs serve with versions {}; this ends within seconds, or the older ones fence \
             themselves",
            versions.join(" and ")
        ));
    }
    let under_way = super::progress::lines(&known(seen));
    if !under_way.is_empty() {
        text.push_str("under way:\n");
    }
    for line in under_way {
        _ = writeln!(text, "  - {line}");
    }
    text.push_str(if wrong.is_empty() { "nothing is wrong\n" } else { "what is wrong:\n" });
    for wrong in wrong {
        _ = writeln!(text, "  - {wrong}");
    }
    text
}

fn line(text: &mut String, address: net::SocketAddr, status: &operator::Status) {
    let serves = if status.ready { "serves" } else { "does not serve" };
    let bundle = match &status.bundle {
        Some(digest) => digest.to_string()[..12].to_owned(),
        None => "none".to_owned(),
    };
    _ = writeln!(
        text,
        "  {address}  {}  {serves}, version {}, bundle {bundle}, {} members, {} calls open, {} \
         waiting",
        status.vm,
        status.version,
        status.members.len(),
        status.open_calls,
        status.queued_calls
    );
}
