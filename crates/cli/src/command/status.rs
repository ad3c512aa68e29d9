//! `primroseplank status` and `state`.

use std::{collections, fmt::Write as _, net};

use node::operator;

use crate::{client, error, outcome};

/// The status of one VM, or why it could not be fetched.
pub(super) struct Answer {
    address: net::SocketAddr,
    status: error::Result<operator::Status>,
}

/// Prints the state tables of the first VM that can be reached.
pub(super) async fn state(client: &client::Client) -> error::Result<outcome::Outcome> {
    let reply = client.send(&client::Request::get("/state")).await?;
    match reply {
        operator::Reply::State(state) => Ok(outcome::Outcome::ok(super::to_json(&state))),
        reply => Err(super::reply_error("reading the state", reply)),
    }
}

/// Reports the status of every VM that is given.
pub(super) async fn run(client: &client::Client, json: bool) -> error::Result<outcome::Outcome> {
    let answers = query_all(client).await;
    let text = if json { render_json(&answers) } else { render(&answers) };
    Ok(outcome::Outcome::new(exit(&answers), text))
}

/// Fetches the status of every VM that is given.
pub(super) async fn query_all(client: &client::Client) -> Vec<Answer> {
    let mut answers = Vec::new();
    for address in client.vms() {
        let status = query(client, *address).await;
        answers.push(Answer { address: *address, status });
    }
    answers
}

/// The statuses of the VMs that answered.
pub(super) fn answered(answers: &[Answer]) -> Vec<&operator::Status> {
    answers.iter().filter_map(|answer| answer.status.as_ref().ok()).collect()
}

async fn query(
    client: &client::Client,
    address: net::SocketAddr,
) -> error::Result<operator::Status> {
    let reply = client.send_to(address, &client::Request::get("/v1/status")).await?;
    match reply {
        operator::Reply::Status(status) => Ok(*status),
        reply => Err(super::reply_error("reading the status", reply)),
    }
}

/// Exit code: unknown if no VM answered, refused if anything is wrong.
fn exit(answers: &[Answer]) -> outcome::Exit {
    if answers.iter().all(|answer| answer.status.is_err()) {
        return outcome::Exit::Unknown;
    }
    let healthy =
        |answer: &Answer| answer.status.as_ref().is_ok_and(|status| faults(status).is_empty());
    if answers.iter().all(healthy) && serving_versions(answers).len() < 2 {
        return outcome::Exit::Success;
    }
    outcome::Exit::Refused
}

/// Lists what is wrong on a VM, each with what to do.
fn faults(status: &operator::Status) -> Vec<String> {
    let mut faults = status.alarms.clone();
    // An alarm that names the subject already reports it in more detail.
    let has_alarm = |subject: &str| status.alarms.iter().any(|alarm| alarm.contains(subject));
    if status.bundle.is_none() {
        faults.push("no bundle is in force: run `primroseplank accept`".to_owned());
    }
    if !status.ready && !has_alarm(&status.reason) {
        faults.push(format!("serves nobody: {}; it gets no calls", status.reason));
    }
    for item in status.unreachable.iter().filter(|item| !has_alarm(item)) {
        faults.push(format!("no ready copy of {item}: look at `primroseplank state`"));
    }
    faults
}

/// Groups the faults: the names of the VMs that have each of them.
fn vms_by_fault(answers: &[Answer]) -> collections::BTreeMap<String, Vec<&str>> {
    let mut vms = collections::BTreeMap::new();
    for status in answers.iter().filter_map(|answer| answer.status.as_ref().ok()) {
        for fault in faults(status) {
            let names: &mut Vec<_> = vms.entry(fault).or_default();
            names.push(&*status.vm);
        }
    }
    vms
}

/// The distinct versions in force on the VMs that serve calls.
fn serving_versions(answers: &[Answer]) -> Vec<ids::Version> {
    let serving = answers.iter().filter_map(|answer| answer.status.as_ref().ok());
    let mut versions: Vec<_> =
        serving.filter(|status| status.ready).map(|status| status.version).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

fn render_json(answers: &[Answer]) -> String {
    let entry = |answer: &Answer| match &answer.status {
        Ok(status) => serde_json::json!({
            "address": answer.address, "status": status, "wrong": faults(status),
        }),
        Err(error) => serde_json::json!({
            "address": answer.address, "error": error.to_string(),
        }),
    };
    super::to_json(&answers.iter().map(entry).collect::<Vec<_>>())
}

/// Renders the report as text: whether callers are served, one line per VM,
/// what is in progress and what is wrong.
fn render(answers: &[Answer]) -> String {
    let ready = |answer: &&Answer| answer.status.as_ref().is_ok_and(|status| status.ready);
    let serving = answers.iter().filter(ready).count();
    let mut text = match serving {
        0 => "callers are NOT served by any VM that was asked\n".to_owned(),
        _ => format!("callers are served by {serving} of {} VMs that were asked\n", answers.len()),
    };
    let mut wrong = Vec::new();
    for Answer { address, status } in answers {
        match status {
            Ok(status) => {
                write_vm(&mut text, *address, status);
            }
            Err(error) => {
                _ = writeln!(text, "  {address}  does not answer");
                wrong.push(format!(
                    "{error}; look at its machine and its log, and replace it if it stays silent"
                ));
            }
        }
    }
    for (fault, vms) in vms_by_fault(answers) {
        wrong.push(format!("{}: {fault}", vms.join(", ")));
    }
    let versions = serving_versions(answers);
    if versions.len() > 1 {
        let versions: Vec<_> = versions.iter().map(ToString::to_string).collect();
        wrong.push(format!(
            "VMs serve with versions {}; this ends within seconds, or the older ones fence \
             themselves",
            versions.join(" and ")
        ));
    }
    let under_way = super::progress::describe(&answered(answers));
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

fn write_vm(text: &mut String, address: net::SocketAddr, status: &operator::Status) {
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
