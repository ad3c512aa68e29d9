//! What operators ask for and what they are told.

use std::sync;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Put a signed bundle in force.
    Accept {
        /// The signed document, as it is stored.
        document: sync::Arc<str>,
        /// The version that it replaces; any, if left out.
        #[serde(default)]
        replaces: Option<ids::Version>,
    },
    /// Change what was amended.
    Amend(bundle::amend::Change),
    /// The signed document in force.
    Document,
    /// The amendments in force.
    Amendments,
    /// What has been in force.
    History,
    /// An object that the history names.
    Object(ids::Digest),
    /// How the VM and the fleet are.
    Status,
    /// The dump of all tables.
    State,
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// In force on every member.
    InForce {
        /// The head's version.
        version: ids::Version,
        /// Members that were silent and are fenced, and so do not serve.
        fenced: Vec<ids::Vm>,
    },
    /// Not accepted and not in force anywhere.
    Refused {
        /// Why.
        reason: String,
    },
    /// Not known yet; ask again.
    Unknown {
        /// Why.
        reason: String,
    },
    /// The signed document in force, or the object that was asked for.
    Document(sync::Arc<str>),
    /// The amendments in force.
    Amendments(bundle::Amendments),
    /// What has been in force, the newest last.
    History(Vec<bundle::history::Entry>),
    /// The status.
    Status(Box<Status>),
    /// The dump, as JSON.
    State(serde_json::Value),
}

/// How the VM and the fleet are, as one VM sees it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The VM.
    pub vm: String,
    /// Whether it serves.
    pub ready: bool,
    /// Why it does not.
    pub reason: String,
    /// Version of the head in force here.
    pub version: ids::Version,
    /// Digest of the bundle in force here.
    pub bundle: Option<ids::Digest>,
    /// Names of the members.
    pub members: Vec<ids::Vm>,
    /// Calls open here.
    pub open_calls: usize,
    /// Calls waiting here.
    pub queued_calls: usize,
    /// Models without a ready copy, as seen here.
    pub unreachable: Vec<sync::Arc<str>>,
    /// Targets that get no new work, with what is still open there.
    #[serde(default)]
    pub drains: Vec<Drain>,
    /// Models and adapters that are not, or not only, ready as declared.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
    /// What is wrong, each with what to do.
    pub alarms: Vec<String>,
}

/// A target that gets no new work, as one VM sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Drain {
    /// The target.
    pub target: ids::Target,
    /// Whether an operator has drained it; otherwise it is leaving.
    pub drained: bool,
    /// What it still has to serve, as no other target is ready to.
    #[serde(default)]
    pub serving: Vec<sync::Arc<str>>,
    /// Calls of this VM that are open there.
    pub open_calls: usize,
}

/// A model or adapter on its way to the declared version, as one VM sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Rollout {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub item: sync::Arc<str>,
    /// The declared version; none for what is declared no more.
    pub version: Option<sync::Arc<str>>,
    /// Ready copies of the declared version that the bundle asks for.
    pub copies: usize,
    /// All copies that the runners report, by runner.
    pub residents: Vec<Copy>,
}

impl Rollout {
    /// Runners whose copy of the declared version is in `state`.
    pub fn runners_in(&self, state: engine::report::State) -> impl Iterator<Item = &ids::Target> {
        let version = self.version.clone();
        let fits =
            move |copy: &&Copy| copy.state == state && Some(&copy.version) == version.as_ref();
        self.residents.iter().filter(fits).map(|copy| &copy.target)
    }
}

/// A copy of a model or adapter on a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Copy {
    /// The runner.
    pub target: ids::Target,
    /// Version of the copy.
    pub version: sync::Arc<str>,
    /// Where it stands.
    pub state: engine::report::State,
}
