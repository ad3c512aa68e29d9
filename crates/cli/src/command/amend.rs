//! `primroseplank drain` and `return`, and what all amendments share.

use std::fmt::Write as _;

use bundle::amend;
use node::operator;

use crate::{client, done, error};

/// Makes one change and waits until it is in force.
pub(super) async fn send(
    client: &client::Client,
    change: &amend::Change,
) -> error::Result<operator::Reply> {
    let body = serde_json::json!(change).to_string();
    client.send(&client::Request::post("/v1/amend", body)).await
}

/// Gives `target` no new work.
pub(super) async fn drain(
    client: &client::Client,
    target: &str,
    json: bool,
) -> error::Result<done::Done> {
    let reply = send(client, &amend::Change::Drain(target.into())).await?;
    let mut done = super::accept::outcome("draining", reply, json)?;
    if !json {
        _ = writeln!(
            done.text,
            "{target} gets no new work; `primroseplank return {target}` undoes it"
        );
    }
    Ok(done)
}

/// Gives `target` work again.
pub(super) async fn give_back(
    client: &client::Client,
    target: &str,
    json: bool,
) -> error::Result<done::Done> {
    let reply = send(client, &amend::Change::Return(target.into())).await?;
    super::accept::outcome("returning", reply, json)
}
