//! Messages between VMs about the head.

/// A message between VMs. It may be lost, delayed or duplicated.
///
/// Field names are one letter on the wire because these messages are most of a
/// VM's control traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Requests the receiver's versions and the age of its evidence.
    #[serde(rename = "a")]
    Query {
        /// Identifies the query; echoed in the reply.
        #[serde(rename = "n")]
        query_id: u64,
        /// Version of the newest head that the sender knows.
        #[serde(rename = "v")]
        version: ids::Version,
    },
    /// Answers a query, or reports an adoption.
    #[serde(rename = "r")]
    Reply {
        /// The query that is answered; zero if the message reports an adoption.
        #[serde(rename = "n")]
        query_id: u64,
        /// Version of the newest head that the sender knows.
        #[serde(rename = "v")]
        version: ids::Version,
        /// The head in force at the sender; zero if none.
        #[serde(rename = "i")]
        adopted: ids::Version,
        /// The newest head known to be settled: no VM serves under an older one.
        #[serde(rename = "s")]
        settled: ids::Version,
        /// Milliseconds since `version` was shown to be the newest; `None` if
        /// that evidence has expired.
        #[serde(rename = "g")]
        age: Option<u64>,
    },
    /// Sends a whole head.
    #[serde(rename = "t")]
    Announce {
        /// The head.
        #[serde(rename = "h")]
        head: Box<crate::Head>,
    },
}
