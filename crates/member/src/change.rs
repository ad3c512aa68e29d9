//! Changes to the head that operators request.

/// A requested change. The objects that it names must already be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Replaces the bundle.
    Bundle {
        /// Digest of the new bundle's object.
        bundle: ids::Digest,
        /// The bundle expected in the head; any other is a conflict.
        replaces: Option<ids::Digest>,
    },
    /// Replaces the amendments.
    Amend {
        /// Digest of the new amendments' object.
        amendments: ids::Digest,
        /// The amendments expected in the head; any others are a conflict.
        replaces: Option<ids::Digest>,
        /// The key that the change withdraws, if any.
        withdrawn: Option<ids::Key>,
    },
}

impl Change {
    /// Whether `head` still contains the object that this change replaces.
    #[must_use]
    pub fn applies_to(&self, head: &crate::Head) -> bool {
        match self {
            Self::Bundle { replaces, .. } => head.bundle == *replaces,
            Self::Amend { replaces, .. } => head.amendments == *replaces,
        }
    }

    /// Applies the change to `head`. Does not set the version.
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

/// The result of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No VM serves under an older head.
    InForce {
        /// Version of the head that contains the change.
        version: ids::Version,
        /// Members that have not adopted this version and are fenced.
        fenced: Vec<ids::Vm>,
    },
    /// The change was not written and will not be.
    Refused {
        /// Explanation for the operator.
        reason: String,
    },
    /// Either it is not known whether the change was written, or it was
    /// written but not confirmed to be in force on every VM.
    Unknown {
        /// Explanation for the operator.
        reason: String,
    },
}
