//! Systems: functions that operate on the relay's state.

pub(crate) mod admission;
pub(crate) mod allocation;
pub(crate) mod attempt;
pub(crate) mod cold;
pub(crate) mod dispatch;
pub(crate) mod era;
pub(crate) mod evacuation;
pub(crate) mod gossip;
pub(crate) mod overlay;
pub(crate) mod pause;
pub(crate) mod planning;
pub(crate) mod quarantine;
pub(crate) mod replication;
pub(crate) mod shutdown;
pub(crate) mod speed;
pub(crate) mod startup;
