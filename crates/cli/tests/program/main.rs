//! Tests of the built program, against files and against a fake VM.

mod docs;
mod fake;
mod offline;
mod online;
