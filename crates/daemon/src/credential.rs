//! Verification of the credentials of operators and of other VMs.

use subtle::ConstantTimeEq as _;

use crate::settings;

/// Whether the `Authorization` header has `expected` as its bearer token. The
/// comparison takes constant time, so its duration reveals nothing about the
/// credential.
#[must_use]
pub fn is_valid(headers: &http::HeaderMap, expected: &settings::Credential) -> bool {
    let Some(value) = headers.get(http::header::AUTHORIZATION) else {
        return false;
    };
    let Some(token) = value.as_bytes().strip_prefix(b"Bearer ") else {
        return false;
    };
    // Digests have a fixed length, so the length of the credential is not revealed either.
    let presented = ids::Digest::of(token);
    let expected = ids::Digest::of(expected.reveal().as_bytes());
    presented.as_bytes().ct_eq(expected.as_bytes()).into()
}
