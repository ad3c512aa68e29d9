//! Systems: functions that run over the tables of a node.

pub mod arrive;
pub mod attempt;
pub mod claim;
pub mod dispatch;
pub mod finish;
pub mod force;
pub mod member;
pub mod operate;
pub mod plan;
pub mod progress;
pub mod quota;
pub mod report;
pub mod stop;
pub mod withdraw;
