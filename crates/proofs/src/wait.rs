//! Waiting for something to become true.

use std::time;

use crate::{Error, Result};

/// Longest wait for anything that is to happen.
pub const DEADLINE: time::Duration = time::Duration::from_mins(1);
/// Time between two looks.
const PAUSE: time::Duration = time::Duration::from_millis(20);

/// Looks again and again until `look` gives something.
///
/// # Errors
///
/// [`DEADLINE`] has passed.
pub async fn until<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> Result<T> {
    let looking = async {
        loop {
            if let Some(found) = look().await {
                return found;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(DEADLINE, looking)
        .await
        .map_err(|elapsed| Error::new("waiting", &what, &elapsed))
}
