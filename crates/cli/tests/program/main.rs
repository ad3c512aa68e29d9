//! The real program against files and against a face with prepared answers.

mod fake;
mod offline;
mod online;
