//! Polling for a condition with a deadline.

use std::time;

use crate::{Error, Result};

/// Timeout of every wait in this crate.
pub const DEADLINE: time::Duration = time::Duration::from_mins(1);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Polls `check` until it returns a value. `what` names the condition in the error.
///
/// # Errors
///
/// `check` returned no value within [`DEADLINE`].
pub async fn until<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> Result<T> {
    let polling = async {
        loop {
            if let Some(found) = check().await {
                return found;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(DEADLINE, polling)
        .await
        .map_err(|elapsed| Error::new("waiting", &what, &elapsed))
}
