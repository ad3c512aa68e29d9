//! What VMs tell one another.

/// A message between VMs. It may be lost, late or doubled.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// A target that says of itself that it is leaving.
    Leaving {
        /// The target.
        target: ids::Target,
    },
}
