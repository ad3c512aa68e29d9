//! Orders to load and unload.

use std::{sync, time};

use engine::order;

use super::{Runner, memory};
use crate::{face, process, weight};

/// Pause before a failed load is tried again.
const LOAD_RETRY: time::Duration = time::Duration::from_millis(500);

pub(super) fn serve(runner: &sync::Arc<Runner>, request: &face::Request) -> face::Reply {
    match serde_json::from_slice(&request.body) {
        Ok(order) => take(runner, &order),
        Err(error) => process::bad_body(&error),
    }
}

fn take(runner: &sync::Arc<Runner>, order: &engine::Order) -> face::Reply {
    let mut state = runner.lock();
    if runner.config.fencing {
        if order.fence < state.fence {
            runner.counts.add("orders-stale");
            let message = format!("fencing token {} is known", state.fence);
            return face::Reply::error(http::StatusCode::CONFLICT, "stale", &message);
        }
        state.fence = order.fence;
    }
    let item = memory::Item::new(&order.item, &order.version);
    match order.action {
        order::Action::Load => {
            runner.counts.add("orders-load");
            if state.memory.begin_load(&item, order.memory_mib) {
                let loading = load(sync::Arc::downgrade(runner), item, order.memory_mib);
                tokio::spawn(loading);
            }
        }
        order::Action::Unload => {
            runner.counts.add("orders-unload");
            state.memory.begin_unload(&item);
            state.release();
        }
    }
    face::Reply::empty(http::StatusCode::ACCEPTED)
}

/// Loads `item` from the weight store, again and again until it is there or unwanted.
async fn load(runner: sync::Weak<Runner>, item: memory::Item, mib: u64) {
    while let Some(runner) = runner.upgrade() {
        if runner.lock().memory.is_unwanted(&item) || fetch(&runner, &item, mib).await {
            let mut state = runner.lock();
            state.memory.finish_load(&item);
            state.release();
            return;
        }
        runner.counts.add("loads-failed");
        tokio::time::sleep(LOAD_RETRY).await;
    }
}

async fn fetch(runner: &Runner, item: &memory::Item, mib: u64) -> bool {
    let Some(weights) = runner.config.weights else {
        return true;
    };
    let load = weight::Load {
        item: sync::Arc::clone(&item.name),
        version: sync::Arc::clone(&item.version),
        mib,
    };
    let Ok(body) = serde_json::to_vec(&load) else {
        return false;
    };
    let answer = runner.client.send(weights, "POST", "/load", body).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}
