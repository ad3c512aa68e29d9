//! What a [`crate::View`] asks for.

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Output {
    /// Ask the table service and give the answer to [`crate::View::on_table_answer`].
    Table {
        /// The operation.
        op: ids::Op,
        /// What to ask.
        request: store::table::Request,
    },
    /// Send a message to another VM; it may be lost.
    Peer {
        /// The receiver.
        to: ids::Vm,
        /// The message.
        message: crate::Message,
    },
    /// Fetch the head's objects, put them in force and call
    /// [`crate::View::on_adopted`].
    Adopt(Box<crate::Head>),
    /// The other members, to be able to send them messages.
    Members(Vec<crate::Member>),
    /// No VM serves under a head older than this one.
    Settled(ids::Version),
    /// A change ended.
    Changed {
        /// The operation that [`crate::View::request_change`] was given.
        op: ids::Op,
        /// How it ended.
        outcome: crate::change::Outcome,
    },
    /// Whether the VM serves has changed.
    Serving {
        /// Whether it serves.
        serving: bool,
        /// Why it does not.
        reason: Option<Reason>,
    },
    /// The VM has left the head, or has tried for long enough.
    Left,
    /// A change of state worth a log line.
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
