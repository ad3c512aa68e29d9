//! The operators' credential.
//!
//! It is read from a file or from the environment, never from the command line,
//! which other users of the machine can see.

use std::{env, fmt, path};

use crate::{error, file};

/// Name of the environment variable with the credential.
pub const VARIABLE: &str = "PRIMROSEPLANK_CREDENTIAL";

/// The operators' credential. Its `Debug` output does not show it.
#[derive(Clone)]
pub struct Credential(String);

impl Credential {
    /// Reads the credential from `file`, or else from the environment.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Usage`] if there is none, or if the file is readable by others.
    pub fn load(file: Option<&path::Path>) -> error::Result<Self> {
        if let Some(file) = file {
            return Ok(Self(file::read_secret(file)?.trim().to_owned()));
        }
        let not_set = |_cause| {
            let reason = format!("give --credential-file FILE or set {VARIABLE}");
            error::Error::new(error::Kind::Usage, "finding", &"operators' credential", &reason)
        };
        env::var(VARIABLE).map(Self).map_err(not_set)
    }

    /// Returns the credential as text, to be sent to a VM.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}
