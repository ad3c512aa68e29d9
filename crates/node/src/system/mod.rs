//! Systems: functions that update the tables of a node and emit outputs.

pub mod admission;
pub mod attempt;
pub mod claim;
pub mod dispatch;
pub mod fetch;
pub mod finish;
pub mod member;
pub mod operate;
pub mod plan;
pub mod progress;
pub mod quota;
pub mod report;
pub mod stop;
pub mod withdraw;
