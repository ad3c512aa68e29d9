//! What VMs tell one another.

/// A message between VMs. It may be lost, late or doubled.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// About the head.
    #[serde(rename = "m")]
    Member(member::Message),
    /// About rates and bursts.
    #[serde(rename = "q")]
    Quota(quota::Message),
}
