//! The operators' page shows commands that exist and names every field.

use clap::Parser as _;

const PAGE: &str = include_str!("../../../../docs/OPERATORS.md");

/// Commands in code, alone on a line or within a sentence.
fn commands() -> Vec<String> {
    let within = PAGE.split('`').filter(|text| !text.contains('\n'));
    let lines = PAGE.lines().map(str::trim);
    let is_command = |text: &&str| text.starts_with("primroseplank ");
    let mut commands: Vec<_> = lines.chain(within).filter(is_command).map(str::to_owned).collect();
    commands.sort();
    commands.dedup();
    commands
}

#[test]
fn every_command_is_one() {
    let commands = commands();
    assert!(commands.len() > 15, "{commands:?}");
    for command in commands {
        // Commands that are only named have arguments left out.
        let command = command.split(" > ").next().unwrap();
        let words: Vec<_> = command.split(' ').collect();
        let parsed = cli::args::Line::try_parse_from(&words);
        let named = words.len() == 2;
        assert!(parsed.is_ok() || named, "{command}: {}", parsed.unwrap_err());
    }
}

#[test]
fn every_field_of_the_bundle_is_named() {
    let text = include_str!("../../../../examples/magnolia.yaml");
    let bundle = bundle::read(text).unwrap();
    let mut fields = Vec::new();
    collect(&serde_json::json!(bundle), "", &mut fields);
    assert!(fields.len() > 30, "{fields:?}");
    for field in fields {
        let name = field.rsplit('.').next().unwrap();
        let named = PAGE.contains(&format!("`{field}`")) || PAGE.contains(&format!("`.{name}`"));
        assert!(named, "{field} is not in the table");
    }
}

/// Paths of all fields, with `[]` for the items of a list.
fn collect(value: &serde_json::Value, path: &str, fields: &mut Vec<String>) {
    match value {
        serde_json::Value::Object(map) => {
            for (name, value) in map {
                let dot = if path.is_empty() { "" } else { "." };
                collect(value, &format!("{path}{dot}{name}"), fields);
            }
        }
        serde_json::Value::Array(items) => {
            for item in items {
                collect(item, &format!("{path}[]"), fields);
            }
        }
        _ => fields.push(path.to_owned()),
    }
    fields.sort();
    fields.dedup();
}
