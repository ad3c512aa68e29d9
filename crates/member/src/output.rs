//! Actions that a [`crate::View`] requests.

/// An action for the caller to take.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Output {
    /// Send a request to the table service and pass the answer to
    /// [`crate::View::on_table_answer`].
    Table {
        /// Identifies the request; passed back with the answer.
        op: ids::Op,
        /// The request to send.
        request: store::table::Request,
    },
    /// Send a message to another VM; it may be lost.
    Peer {
        /// The receiver.
        to: ids::Vm,
        /// The message.
        message: crate::Message,
    },
    /// Fetch the head's objects, apply them and call
    /// [`crate::View::on_adopted`].
    Adopt(Box<crate::Head>),
    /// The other members have changed; connect to these.
    Members(Vec<crate::Member>),
    /// This version is settled: no VM serves under an older one.
    Settled(ids::Version),
    /// A requested change has ended.
    Changed {
        /// The operation that [`crate::View::request_change`] was given.
        op: ids::Op,
        /// The result.
        outcome: crate::change::Outcome,
    },
    /// This VM has begun or stopped serving.
    Serving {
        /// Whether it serves now.
        serving: bool,
        /// Why it does not serve; `None` if it does.
        reason: Option<Reason>,
    },
    /// The VM has left the head, or its attempts to leave have timed out.
    Left,
    /// A message for the log.
    Log(String),
}

/// Why a VM does not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize, displaydoc::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// no head is in force here yet
    Starting,
    /// this VM is not a member of the head
    NotMember,
    /// it was not shown recently that the head in force here is the newest
    Stale,
    /// a newer head is known but not in force here
    Behind,
    /// this VM is leaving
    Leaving,
}
