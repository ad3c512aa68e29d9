//! Ending calls whose keys were withdrawn.

use bundle::format;

use crate::{Node, Output, call, calls, system};

/// Ends the calls whose keys are no longer valid.
///
/// Waiting calls are refused. An open stream is completed or cut, as the bundle
/// configures. A call that runs at most once and was sent is left alone, because
/// cutting it would lose its answer but not undo its effect.
pub fn end_withdrawn_calls(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    let Some(index) = node.index.clone() else {
        return;
    };
    let cuts_streams = index.bundle.limits.withdrawal == format::Withdrawal::Cut;
    let ended: Vec<_> = node
        .calls
        .rows
        .values()
        .filter(|row| !is_admitted(node, row))
        .filter(|row| may_end(row, cuts_streams))
        .map(|row| row.call)
        .collect();
    for call in ended {
        end_call(node, now, call, out);
    }
}

fn is_admitted(node: &Node, row: &calls::Row) -> bool {
    row.account.is_none() || row.key.as_ref().and_then(|key| node.authenticate(key)).is_some()
}

fn may_end(row: &calls::Row, cuts_streams: bool) -> bool {
    match row.stage {
        calls::Stage::Quota | calls::Stage::Queue | calls::Stage::Backoff => true,
        calls::Stage::Sent { .. } => cuts_streams && row.claim.is_none(),
        calls::Stage::Claim | calls::Stage::Store | calls::Stage::Kept => false,
    }
}

fn end_call(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    system::attempt::abort(node, now, call, out);
    node.queue.remove(call);
    system::claim::release(node, now, call, out);
    let message = "the key was withdrawn";
    system::finish::fail(node, now, call, call::Code::InvalidKey, message, out);
}
