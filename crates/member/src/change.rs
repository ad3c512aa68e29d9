//! Changes of the head that operators ask for.

/// A change whose objects have been stored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Another bundle.
    Bundle {
        /// The bundle's object.
        bundle: ids::Digest,
        /// The bundle that it replaces; another one in the head is a conflict.
        replaces: Option<ids::Digest>,
    },
    /// Other amendments.
    Amend {
        /// The amendments' object.
        amendments: ids::Digest,
        /// The amendments that it was made from; others in the head are a conflict.
        replaces: Option<ids::Digest>,
        /// The key that the change withdraws.
        withdrawn: Option<ids::Key>,
    },
}

impl Change {
    /// Whether the head still has what the change was made from.
    #[must_use]
    pub fn applies_to(&self, head: &crate::Head) -> bool {
        match self {
            Self::Bundle { replaces, .. } => head.bundle == *replaces,
            Self::Amend { replaces, .. } => head.amendments == *replaces,
        }
    }

    /// Makes the change.
    pub(crate) fn apply(&self, head: &mut crate::Head) {
        match self {
            Self::Bundle { bundle, .. } => head.bundle = Some(*bundle),
            Self::Amend { amendments, withdrawn, .. } => {
                head.amendments = Some(*amendments);
                head.withdrawn.clone_from(withdrawn);
            }
        }
    }
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No VM serves under an older head any more.
    InForce {
        /// The head's version.
        version: ids::Version,
        /// Members that have not adopted it and so are fenced.
        fenced: Vec<ids::Vm>,
    },
    /// Not made, and never will be.
    Refused {
        /// Why.
        reason: String,
    },
    /// Not known, or not shown to be in force everywhere.
    Unknown {
        /// Why.
        reason: String,
    },
}
