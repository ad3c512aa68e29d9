//! `primroseplank return`, and the request that all amendments use.

use bundle::amend;
use node::operator;

use crate::{client, error, outcome};

/// Sends one change and waits until it is in force.
pub(super) async fn send(
    client: &client::Client,
    change: &amend::Change,
) -> error::Result<operator::Reply> {
    let body = serde_json::json!(change).to_string();
    client.send(&client::Request::post("/v1/amend", body)).await
}

/// Ends the drain of `target`.
pub(super) async fn undrain(
    client: &client::Client,
    target: &str,
    json: bool,
) -> error::Result<outcome::Outcome> {
    let reply = send(client, &amend::Change::Return(target.into())).await?;
    super::accept::render("returning", reply, json)
}
