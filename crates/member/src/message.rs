//! What VMs tell one another about the head.

/// A message between VMs. It may be lost, late or doubled.
///
/// Field names are one letter on the wire, for these messages are most of a
/// VM's control traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Asks how recent the receiver's knowledge of the head is.
    #[serde(rename = "a")]
    Query {
        /// Number of the question, to be named in the reply.
        #[serde(rename = "n")]
        query_id: u64,
        /// The newest head that the sender knows.
        #[serde(rename = "v")]
        version: ids::Version,
    },
    /// Answers a question, or tells of an adoption.
    #[serde(rename = "r")]
    Reply {
        /// Number of the question; zero if none was asked.
        #[serde(rename = "n")]
        query_id: u64,
        /// The newest head that the sender knows.
        #[serde(rename = "v")]
        version: ids::Version,
        /// The head in force at the sender.
        #[serde(rename = "i")]
        adopted: ids::Version,
        /// The newest head that no serving VM is behind.
        #[serde(rename = "s")]
        settled: ids::Version,
        /// Milliseconds since `version` was shown to be the newest; none if
        /// that is too long ago.
        #[serde(rename = "g")]
        age: Option<u64>,
    },
    /// Teaches a head.
    #[serde(rename = "t")]
    Announce {
        /// The head.
        #[serde(rename = "h")]
        head: Box<crate::Head>,
    },
}
