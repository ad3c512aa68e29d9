//! `primroseplank check`.

use std::{fmt::Write as _, path};

use bundle::check;

use crate::{error, file, outcome};

/// Checks the bundle in `file`.
pub(super) fn run(file: &path::Path, json: bool) -> error::Result<outcome::Outcome> {
    let report = check::run(&file::read(file)?);
    let exit = if report.is_ok() { outcome::Exit::Success } else { outcome::Exit::Refused };
    let text = if json { super::to_json(&report) } else { render(file, &report) };
    Ok(outcome::Outcome::new(exit, text))
}

/// Renders a report as text: the faults, the placement in memory and the loads.
pub(super) fn render(file: &path::Path, report: &check::Report) -> String {
    let mut text = String::new();
    for fault in &report.faults {
        _ = writeln!(text, "{}: {fault}", file.display());
    }
    if let Some(packing) = &report.packing {
        _ = writeln!(text, "memory, in MiB:\n{packing}");
    }
    if let Some(loads) = &report.loads {
        _ = writeln!(text, "a rollout onto empty runners: {loads}");
    }
    _ = match report.faults.len() {
        0 => writeln!(text, "{}: ok", file.display()),
        1 => writeln!(text, "{}: 1 fault", file.display()),
        count => writeln!(text, "{}: {count} faults", file.display()),
    };
    text
}
