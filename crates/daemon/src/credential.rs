//! Comparing the credentials of the operator and peer faces.

use subtle::ConstantTimeEq as _;

use crate::settings;

/// Whether the `Authorization` header presents `wanted`; the time taken says
/// nothing about how much of it was right.
#[must_use]
pub fn presented(headers: &http::HeaderMap, wanted: &settings::Credential) -> bool {
    let Some(value) = headers.get(http::header::AUTHORIZATION) else {
        return false;
    };
    let Some(token) = value.as_bytes().strip_prefix(b"Bearer ") else {
        return false;
    };
    // Digests have one length, so the credential's length does not show either.
    let presented = ids::Digest::of(token);
    let wanted = ids::Digest::of(wanted.reveal().as_bytes());
    presented.as_bytes().ct_eq(wanted.as_bytes()).into()
}
