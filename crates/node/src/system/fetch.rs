//! Fetching the objects that the head names, and putting them in force.

use std::{collections, sync, time};

use rand::Rng as _;
use store::object;

use crate::{Node, Output, count, event, index, peer, system};

/// The pending head, the cached texts of its objects, and requests in flight.
#[derive(Clone, Debug, Default)]
pub struct Fetch {
    head: Option<member::Head>,
    texts: collections::BTreeMap<ids::Digest, sync::Arc<str>>,
    in_flight: collections::BTreeMap<ids::Op, Request>,
    retry_at: Option<ids::Time>,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    digest: ids::Digest,
    at: ids::Time,
}

/// Delay before a failed fetch is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Time after which an unanswered request is sent again.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Starts fetching the objects of `head`, to put it in force when they are complete.
pub fn adopt(node: &mut Node, now: ids::Time, head: member::Head, out: &mut Vec<Output>) {
    let is_old = node.fetch.head.as_ref().is_some_and(|known| known.version >= head.version);
    if is_old {
        return;
    }
    node.fetch.head = Some(head);
    node.fetch.retry_at = None;
    fetch_or_activate(node, now, out);
}

/// Caches the text of an object that a later head will name, and returns its digest.
pub fn cache_text(node: &mut Node, text: sync::Arc<str>) -> ids::Digest {
    let digest = ids::Digest::of(text.as_bytes());
    node.fetch.texts.insert(digest, text);
    digest
}

/// Handles an answer of the object store and returns whether it was for a fetch.
pub fn handle_object_answer(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    result: &store::Result<object::Answer>,
    out: &mut Vec<Output>,
) -> bool {
    let Some(request) = node.fetch.in_flight.remove(&op) else {
        return false;
    };
    let is_requested = |text: &str| ids::Digest::of(text.as_bytes()) == request.digest;
    match result {
        Ok(object::Answer::Object(Some(text))) if is_requested(text) => {
            node.fetch.texts.insert(request.digest, sync::Arc::clone(text));
            fetch_or_activate(node, now, out);
        }
        _ => node.fetch.retry_at = Some(now + RETRY_DELAY),
    }
    true
}

/// Retries a failed or unanswered fetch, at the object store and at a peer.
pub fn tick(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    let before = node.fetch.in_flight.len();
    node.fetch.in_flight.retain(|_, request| now.since(request.at) < ANSWER_TIMEOUT);
    let is_unanswered = node.fetch.in_flight.len() < before;
    if is_unanswered || node.fetch.retry_at.is_some_and(|at| at <= now) {
        node.fetch.retry_at = None;
        fetch_or_activate(node, now, out);
        request_from_peer(node, out);
    }
}

/// Sends an object to another VM that lacks it, if it is cached here.
pub fn send_object(node: &Node, from: &ids::Vm, digest: ids::Digest, out: &mut Vec<Output>) {
    let Some(text) = node.fetch.texts.get(&digest) else {
        return;
    };
    let message = peer::Message::Object { text: sync::Arc::clone(text) };
    out.push(Output::Peer { to: from.clone(), message });
}

/// Handles an object sent by another VM; it is dropped if it is not missing.
pub fn handle_peer_object(
    node: &mut Node,
    now: ids::Time,
    text: &sync::Arc<str>,
    out: &mut Vec<Output>,
) {
    let digest = ids::Digest::of(text.as_bytes());
    if !missing_digests(node).contains(&digest) {
        return;
    }
    node.fetch.texts.insert(digest, sync::Arc::clone(text));
    fetch_or_activate(node, now, out);
}

/// Requests missing objects from a random member.
///
/// Only one member is asked at a time, because a bundle is large and requests
/// to all members would transfer it once for each of them.
fn request_from_peer(node: &mut Node, out: &mut Vec<Output>) {
    let missing = missing_digests(node);
    let Some(head) = &node.fetch.head else {
        return;
    };
    let others: Vec<_> = head.members.iter().filter(|row| row.vm != node.config.vm).collect();
    if others.is_empty() {
        return;
    }
    let chosen = node.rng.random_range(0..others.len());
    for digest in missing {
        let message = peer::Message::Fetch { digest };
        out.push(Output::Peer { to: others[chosen].vm.clone(), message });
    }
}

/// Returns the digests of the objects of the pending head that are not cached.
fn missing_digests(node: &Node) -> Vec<ids::Digest> {
    let wanted = node.fetch.head.as_ref().map(|head| [head.bundle, head.amendments]);
    let wanted = wanted.into_iter().flatten().flatten();
    wanted.filter(|digest| !node.fetch.texts.contains_key(digest)).collect()
}

/// Fetches the missing objects of the pending head, or puts it in force if there are none.
fn fetch_or_activate(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    let Some(head) = node.fetch.head.clone() else {
        return;
    };
    let missing = missing_digests(node);
    for digest in &missing {
        request_object(node, now, *digest, out);
    }
    if missing.is_empty() {
        activate(node, now, &head, out);
    }
}

fn request_object(node: &mut Node, now: ids::Time, digest: ids::Digest, out: &mut Vec<Output>) {
    if node.fetch.in_flight.values().any(|request| request.digest == digest) {
        return;
    }
    let op = node.next_op();
    node.fetch.in_flight.insert(op, Request { digest, at: now });
    out.push(Output::Object { op, request: object::Request::Get { digest } });
}

fn activate(node: &mut Node, now: ids::Time, head: &member::Head, out: &mut Vec<Output>) {
    match build_index(node, head) {
        Ok(index) => {
            node.counters.increment(count::HEAD_CHANGES);
            node.index = index.map(sync::Arc::new);
            if node.index.is_some() {
                node.first_bundle_version.get_or_insert(head.version);
            }
            retain_texts(node, head);
            system::quota::adopt(node, now, head);
            system::dispatch::adopt(node);
            system::report::adopt(node, now);
            system::plan::adopt(node, now, head);
            system::claim::adopt(node, head);
            system::withdraw::end_withdrawn_calls(node, now, out);
            system::member::report_adopted(node, now, head.version, out);
        }
        Err(reason) => {
            node.counters.increment(count::INVALID_OBJECTS);
            out.push(Output::Log(event::Event::new("adopt", &head.version, reason)));
        }
    }
}

/// Opens and indexes the objects that `head` names; none before the first bundle.
fn build_index(node: &Node, head: &member::Head) -> Result<Option<index::Index>, String> {
    let Some(digest) = head.bundle else {
        return Ok(None);
    };
    let bundle = match &node.index {
        Some(index) if node.head.bundle == Some(digest) => sync::Arc::clone(&index.bundle),
        _ => {
            let text = node.fetch.texts.get(&digest).ok_or("the bundle is missing")?;
            let opened = bundle::signed::open(text, &node.config.signers);
            sync::Arc::new(opened.map_err(|cause| cause.to_string())?.bundle)
        }
    };
    let amendments = match head.amendments.and_then(|digest| node.fetch.texts.get(&digest)) {
        Some(text) => serde_json::from_str(text).map_err(|cause| cause.to_string())?,
        None => bundle::Amendments::default(),
    };
    Ok(Some(index::Index::new(head.version, bundle, sync::Arc::new(amendments))))
}

/// Retains the texts that the head names and drops those of earlier heads.
fn retain_texts(node: &mut Node, head: &member::Head) {
    let texts = &mut node.fetch.texts;
    node.document = head.bundle.and_then(|digest| texts.get(&digest).cloned());
    let wanted = [head.bundle, head.amendments];
    texts.retain(|digest, _| wanted.contains(&Some(*digest)));
    node.head = head.clone();
}
