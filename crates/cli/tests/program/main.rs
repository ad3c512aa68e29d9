//! The real program against files and against a face with prepared answers.

mod docs;
mod fake;
mod offline;
mod online;
