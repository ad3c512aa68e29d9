//! Requests of operators and replies to them.

use std::sync;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Put a signed bundle in force.
    Accept {
        /// The signed document, as it is stored.
        document: sync::Arc<str>,
        /// Version that must be in force; `None` for any.
        #[serde(default)]
        replaces: Option<ids::Version>,
    },
    /// Change the amendments in force.
    Amend(bundle::amend::Change),
    /// Return the signed document in force.
    Document,
    /// Return the amendments in force.
    Amendments,
    /// Return the history of heads.
    History,
    /// Return an object that the history names.
    Object(ids::Digest),
    /// Return the status of the VM and the fleet.
    Status,
    /// Return a dump of all tables.
    State,
}

/// A reply to an operator's request.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The change is in force on every member that serves.
    InForce {
        /// Version of the head that contains the change.
        version: ids::Version,
        /// Members that did not respond; they are fenced and do not serve.
        fenced: Vec<ids::Vm>,
    },
    /// The request was refused and took effect nowhere.
    Refused {
        /// Why it was refused.
        reason: String,
    },
    /// The result is not known; the operator should ask again.
    Unknown {
        /// Why it is not known.
        reason: String,
    },
    /// The signed document in force, or the requested object.
    Document(sync::Arc<str>),
    /// The amendments in force.
    Amendments(bundle::Amendments),
    /// The history of heads, the newest last.
    History(Vec<bundle::history::Entry>),
    /// Status of the VM and the fleet.
    Status(Box<Status>),
    /// Dump of all tables, as JSON.
    State(serde_json::Value),
}

/// Status of a VM and of the fleet, as seen by this VM.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// Name of the VM.
    pub vm: String,
    /// Whether the VM is ready for calls.
    pub ready: bool,
    /// Why the VM is not ready; empty if it is.
    pub reason: String,
    /// Version of the head in force on this VM.
    pub version: ids::Version,
    /// Digest of the bundle in force on this VM.
    pub bundle: Option<ids::Digest>,
    /// Names of all members of the head.
    pub members: Vec<ids::Vm>,
    /// Number of calls open on this VM.
    pub open_calls: usize,
    /// Number of calls in the queue of this VM.
    pub queued_calls: usize,
    /// Models and adapters without a ready copy, as seen by this VM.
    pub unreachable: Vec<sync::Arc<str>>,
    /// Targets that receive no new calls, with their open calls.
    #[serde(default)]
    pub drains: Vec<Drain>,
    /// Models and adapters whose copies differ from what the bundle declares.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
    /// Problems that need an operator's attention, in one sentence each.
    pub alarms: Vec<String>,
}

/// A target that receives no new calls, as seen by one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Drain {
    /// Name of the target.
    pub target: ids::Target,
    /// Whether an operator drained the target; otherwise it is leaving.
    pub drained: bool,
    /// Items that the target still serves because no other target is ready to.
    #[serde(default)]
    pub serving: Vec<sync::Arc<str>>,
    /// Number of calls of this VM that are open at the target.
    pub open_calls: usize,
}

/// A model or adapter whose copies differ from the declared version, as seen by one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Rollout {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub item: sync::Arc<str>,
    /// Declared version; `None` if the bundle no longer declares the item.
    pub version: Option<sync::Arc<str>>,
    /// Number of ready copies that the bundle requires.
    pub copies: usize,
    /// All copies reported by runners, in any version and state.
    pub residents: Vec<Copy>,
}

impl Rollout {
    /// Returns the runners whose copy of the declared version is in `state`.
    pub fn runners_in(&self, state: engine::report::State) -> impl Iterator<Item = &ids::Target> {
        let version = self.version.clone();
        let is_match =
            move |copy: &&Copy| copy.state == state && Some(&copy.version) == version.as_ref();
        self.residents.iter().filter(is_match).map(|copy| &copy.target)
    }
}

/// A copy of a model or adapter on a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Copy {
    /// Runner that holds the copy.
    pub target: ids::Target,
    /// Version of the copy.
    pub version: sync::Arc<str>,
    /// State of the copy.
    pub state: engine::report::State,
}
