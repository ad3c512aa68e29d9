//! Rates and bursts of accounts: runs the quota table and carries out its outputs.

use std::time;

use crate::{Config, Node, Output, call, calls, count, peer, system};

/// Creates a table in which no account has a share.
pub fn new_table(config: &Config) -> quota::Table {
    quota::Table::new(quota::Config::new(quota_member(&config.member())))
}

/// Reserves the maximum number of tokens that a call can use.
///
/// Calls on open routes are not charged to an account and skip this step.
pub fn reserve(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    let Some(account) = row.account.clone() else {
        return system::claim::begin(node, now, call, out);
    };
    row.stage = calls::Stage::Quota;
    let tokens = row.need.token_limit();
    run_quota(node, now, out, |quota, outputs| quota.reserve(now, call, &account, tokens, outputs));
}

/// Returns the reserved tokens that a call has not used.
pub fn settle(node: &mut Node, now: ids::Time, call: ids::Call) {
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    if std::mem::take(&mut row.reserved) == 0 {
        node.quota.cancel(call);
        return;
    }
    let used = row.used_tokens();
    node.quota.finish(now, call, used);
}

/// Applies accounts and members of the bundle and head in force.
pub fn adopt(node: &mut Node, now: ids::Time, head: &member::Head) {
    let members: Vec<_> = head.members.iter().map(quota_member).collect();
    let accounts = node.index.iter().flat_map(|index| &index.bundle.accounts);
    let limits = accounts.map(|account| quota::Limit {
        account: account.name.clone(),
        rate: account.rate,
        burst: account.burst,
    });
    let limits: Vec<_> = limits.collect();
    node.quota.adopt(now, head.version, &members, &limits);
}

/// Records that no VM spends shares of a version before `version` any more.
pub fn handle_settled(node: &mut Node, now: ids::Time, version: ids::Version) {
    node.quota.on_settled(now, version);
}

/// Handles a message from another VM. A VM that does not serve lends no tokens.
pub fn handle_message(
    node: &mut Node,
    now: ids::Time,
    from: &ids::Vm,
    incarnation: ids::Incarnation,
    message: quota::Message,
    out: &mut Vec<Output>,
) {
    let serving = node.check_serving(now).is_ok();
    run_quota(node, now, out, |quota, outputs| {
        quota.on_message(now, serving, from, incarnation, message, outputs);
    });
}

/// Runs the periodic work of the quota table.
pub fn tick(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    run_quota(node, now, out, |quota, outputs| quota.tick(now, outputs));
}

fn run_quota(
    node: &mut Node,
    now: ids::Time,
    out: &mut Vec<Output>,
    run: impl FnOnce(&mut quota::Table, &mut Vec<quota::Output>),
) {
    let mut outputs = Vec::new();
    run(&mut node.quota, &mut outputs);
    for output in outputs {
        match output {
            quota::Output::Peer { to, message } => {
                let message = peer::Message::Quota(message);
                out.push(Output::Peer { to, message });
            }
            quota::Output::Granted { call } => handle_granted(node, now, call, out),
            quota::Output::Short { call, reason, retry_after } => {
                handle_refused(node, now, call, reason, retry_after, out);
            }
        }
    }
}

fn handle_granted(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    row.reserved = row.need.token_limit();
    system::plan::record_demand(node, now, call);
    system::claim::begin(node, now, call, out);
}

fn handle_refused(
    node: &mut Node,
    now: ids::Time,
    call: ids::Call,
    reason: quota::Reason,
    retry_after: Option<time::Duration>,
    out: &mut Vec<Output>,
) {
    node.counters.increment(count::OVER_RATE);
    let code = match reason {
        quota::Reason::TooLarge => call::Code::TooLarge,
        _ => call::Code::OverRate,
    };
    let ending = call::Ending::refused(code, reason.to_string());
    let ending = match retry_after {
        Some(wait) => ending.with_retry_after(wait),
        None => ending,
    };
    system::finish::finish(node, now, call, ending, out);
}

fn quota_member(member: &member::Member) -> quota::Member {
    quota::Member { vm: member.vm.clone(), incarnation: member.incarnation }
}
