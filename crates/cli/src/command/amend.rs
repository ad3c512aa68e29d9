//! `primroseplank return`, and what all amendments share.

use bundle::amend;
use node::operator;

use crate::{client, error, outcome};

/// Makes one change and waits until it is in force.
pub(super) async fn send(
    client: &client::Client,
    change: &amend::Change,
) -> error::Result<operator::Reply> {
    let body = serde_json::json!(change).to_string();
    client.send(&client::Request::post("/v1/amend", body)).await
}

/// Gives `target` work again.
pub(super) async fn give_back(
    client: &client::Client,
    target: &str,
    json: bool,
) -> error::Result<outcome::Outcome> {
    let reply = send(client, &amend::Change::Return(target.into())).await?;
    super::accept::outcome("returning", reply, json)
}
