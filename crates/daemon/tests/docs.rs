//! Checks that the operators' page documents the settings and metrics of the code.

use std::{fs, process};

use daemon::{metric, settings};

const PAGE: &str = include_str!("../../../docs/OPERATORS.md");
const VALID: &str = include_str!("data/settings.yaml");

/// Returns the cells of the page's table row for `name`, if there is one.
fn table_row(name: &str) -> Option<Vec<&'static str>> {
    let prefix = format!("| `{name}` |");
    let line = PAGE.lines().find(|line| line.starts_with(&prefix))?;
    Some(line.trim_matches('|').split(" | ").map(str::trim).collect())
}

/// Returns the error for the invalid settings `text`.
fn settings_error(text: &str) -> String {
    let file = tempfile::NamedTempFile::new().expect("a file");
    fs::write(file.path(), text).expect("written");
    settings::load(file.path()).expect_err("an error").to_string()
}

/// Returns the names and defaults of the limits, parsed from their `Debug` output.
fn default_limits() -> Vec<(String, u64)> {
    let text = format!("{:?}", settings::Limits::default());
    let inner = text.trim_start_matches("Limits { ").trim_end_matches(" }");
    let parts = inner.split(", ").map(|part| {
        let (name, value) = part.split_once(": Bounded(")?;
        Some((name.to_owned(), value.trim_end_matches(')').parse().ok()?))
    });
    parts.collect::<Option<_>>().expect("names and numbers")
}

#[test]
fn every_limit_is_documented_with_range_and_default() {
    let limits = default_limits();
    assert!(limits.len() > 14, "{limits:?}");
    for (name, default) in limits {
        let row = table_row(&format!("limits.{name}"));
        let row = row.unwrap_or_else(|| panic!("limits.{name} is not in the table"));
        assert_eq!(row[3], default.to_string(), "default of limits.{name}");
        let text = format!("{}\nlimits: {{{name}: 999999999999}}\n", without_limits());
        let error = settings_error(&text);
        let range = format!("allowed is {}", row[2]);
        assert!(error.contains(&range), "limits.{name}: {error}, the page has {}", row[2]);
    }
    let wait = table_row("stop.balancer_wait_ms").expect("a row");
    let default = settings::Stop::default().balancer_wait_ms.get();
    assert_eq!(wait[3], default.to_string());
}

/// Returns valid settings without their limits.
fn without_limits() -> String {
    VALID.split("limits:").next().expect("settings").trim_end().to_owned()
}

#[test]
fn every_section_of_the_settings_is_documented() {
    // The error for an unknown field lists the known ones.
    let error = settings_error(&format!("{VALID}\nunheard_of: 1\n"));
    let names = error.split("expected one of ").nth(1).unwrap_or_else(|| panic!("{error}"));
    let names = names.split(" at line").next().unwrap_or_default();
    let word =
        |text: &str| text.trim_matches(|letter: char| !letter.is_ascii_lowercase()).to_owned();
    let names: Vec<_> = names.split(", ").map(word).collect();
    assert!(names.len() > 8, "{names:?}");
    for name in names {
        let is_documented =
            ["` |", ".", "[]"].iter().any(|next| PAGE.contains(&format!("| `{name}{next}")));
        assert!(is_documented, "{name} is not in the table");
    }
}

#[test]
fn every_metric_is_documented_with_its_unit() {
    for counter in node::count::ALL {
        let row = table_row(counter.name);
        let row = row.unwrap_or_else(|| panic!("{} is not in the table", counter.name));
        let is_documented = counter.help.ends_with(&format!(", in {}.", row[1]));
        assert!(is_documented, "{}: {}, the page has {}", counter.name, counter.help, row[1]);
    }
    for name in metric::ALL {
        assert!(table_row(name).is_some(), "{name} is not in the table");
    }
}

#[test]
fn no_unknown_metric_is_documented() {
    let counters = node::count::ALL.iter().map(|counter| counter.name);
    let known: Vec<_> = counters.chain(metric::ALL.iter().copied()).collect();
    let words = PAGE.split('`').filter(|word| word.starts_with("primroseplank_"));
    for word in words {
        assert!(known.contains(&word), "{word} is not a metric");
    }
}

#[test]
fn example_settings_are_valid() {
    for name in ["settings-magnolia.yaml", "settings-midshire.yaml"] {
        let file = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
        let checked = process::Command::new(env!("CARGO_BIN_EXE_primroseplankd"))
            .args(["--settings", &file, "--check-settings"])
            .output()
            .expect("the program runs");
        let stderr = String::from_utf8_lossy(&checked.stderr);
        assert!(checked.status.success(), "{name}: {stderr}");
    }
}
