//! The platform's eventually consistent list of machines.
//!
//! Over HTTP: `GET /vms` answers a JSON list of [`Entry`].

/// Lifecycle state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Running, with no stop announced.
    Live,
    /// A stop has been announced.
    Leaving,
}

/// A machine, which runs one of the system's own VMs or a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Name of the VM or target.
    pub name: String,
    /// Lifecycle state of the machine.
    pub state: State,
}
