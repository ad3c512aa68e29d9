//! The operators' page tells the settings and metrics as the code has them.

use std::{fs, process};

use daemon::{metric, settings};

const PAGE: &str = include_str!("../../../docs/OPERATORS.md");
const GOOD: &str = include_str!("data/settings.yaml");

/// The cells of the page's table row for `name`, or of none.
fn row(name: &str) -> Option<Vec<&'static str>> {
    let begin = format!("| `{name}` |");
    let line = PAGE.lines().find(|line| line.starts_with(&begin))?;
    Some(line.trim_matches('|').split(" | ").map(str::trim).collect())
}

/// What is said of the settings `text`.
fn refusal(text: &str) -> String {
    let file = tempfile::NamedTempFile::new().expect("a file");
    fs::write(file.path(), text).expect("written");
    settings::load(file.path()).expect_err("refused").to_string()
}

/// Names and defaults of the limits, from what they show of themselves.
fn limits() -> Vec<(String, u64)> {
    let text = format!("{:?}", settings::Limits::default());
    let inner = text.trim_start_matches("Limits { ").trim_end_matches(" }");
    let parts = inner.split(", ").map(|part| {
        let (name, value) = part.split_once(": Bounded(")?;
        Some((name.to_owned(), value.trim_end_matches(')').parse().ok()?))
    });
    parts.collect::<Option<_>>().expect("names and numbers")
}

#[test]
fn every_limit_is_told_with_range_and_default() {
    let limits = limits();
    assert!(limits.len() > 14, "{limits:?}");
    for (name, default) in limits {
        let row = row(&format!("limits.{name}"));
        let row = row.unwrap_or_else(|| panic!("limits.{name} is not in the table"));
        assert_eq!(row[3], default.to_string(), "default of limits.{name}");
        let text = format!("{}\nlimits: {{{name}: 999999999999}}\n", without_limits());
        let error = refusal(&text);
        let range = format!("allowed is {}", row[2]);
        assert!(error.contains(&range), "limits.{name}: {error}, the page has {}", row[2]);
    }
    let wait = row("stop.balancer_wait_ms").expect("a row");
    let default = settings::Stop::default().balancer_wait_ms.get();
    assert_eq!(wait[3], default.to_string());
}

/// Good settings without their limits.
fn without_limits() -> String {
    GOOD.split("limits:").next().expect("settings").trim_end().to_owned()
}

#[test]
fn every_section_of_the_settings_is_told() {
    // Settings with an unknown field are refused with the names of those that there are.
    let error = refusal(&format!("{GOOD}\nunheard_of: 1\n"));
    let names = error.split("expected one of ").nth(1).unwrap_or_else(|| panic!("{error}"));
    let names = names.split(" at line").next().unwrap_or_default();
    let word =
        |text: &str| text.trim_matches(|letter: char| !letter.is_ascii_lowercase()).to_owned();
    let names: Vec<_> = names.split(", ").map(word).collect();
    assert!(names.len() > 8, "{names:?}");
    for name in names {
        let told = ["` |", ".", "[]"].iter().any(|next| PAGE.contains(&format!("| `{name}{next}")));
        assert!(told, "{name} is not in the table");
    }
}

#[test]
fn every_metric_is_told_with_its_unit() {
    for counter in node::count::ALL {
        let row = row(counter.name);
        let row = row.unwrap_or_else(|| panic!("{} is not in the table", counter.name));
        let told = counter.help.ends_with(&format!(", in {}.", row[1]));
        assert!(told, "{}: {}, the page has {}", counter.name, counter.help, row[1]);
    }
    for name in metric::ALL {
        assert!(row(name).is_some(), "{name} is not in the table");
    }
}

#[test]
fn no_other_metric_is_told() {
    let counters = node::count::ALL.iter().map(|counter| counter.name);
    let known: Vec<_> = counters.chain(metric::ALL.iter().copied()).collect();
    let words = PAGE.split('`').filter(|word| word.starts_with("primroseplank_"));
    for word in words {
        assert!(known.contains(&word), "{word} is no metric");
    }
}

#[test]
fn examples_of_settings_are_taken() {
    for name in ["settings-magnolia.yaml", "settings-midshire.yaml"] {
        let file = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
        let checked = process::Command::new(env!("CARGO_BIN_EXE_primroseplankd"))
            .args(["--settings", &file, "--check-settings"])
            .output()
            .expect("the program runs");
        let said = String::from_utf8_lossy(&checked.stderr);
        assert!(checked.status.success(), "{name}: {said}");
    }
}
