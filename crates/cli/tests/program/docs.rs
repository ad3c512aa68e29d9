//! The operators' page shows only valid commands and names every field of a bundle.

use clap::Parser as _;

const PAGE: &str = include_str!("../../../../docs/OPERATORS.md");

/// Commands on the page, alone on a line or in backticks within a sentence.
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
fn every_command_on_the_page_parses() {
    let commands = commands();
    assert!(commands.len() > 15, "{commands:?}");
    for command in commands {
        // A command that is only mentioned, as two words, may lack its arguments.
        let command = command.split(" > ").next().unwrap();
        let words: Vec<_> = command.split(' ').collect();
        let parsed = cli::args::Line::try_parse_from(&words);
        let is_mention = words.len() == 2;
        assert!(parsed.is_ok() || is_mention, "{command}: {}", parsed.unwrap_err());
    }
}

#[test]
fn every_field_of_a_bundle_is_on_the_page() {
    let text = include_str!("../../../../examples/magnolia.yaml");
    let bundle = bundle::read(text).unwrap();
    let mut fields = Vec::new();
    collect_paths(&serde_json::json!(bundle), "", &mut fields);
    assert!(fields.len() > 30, "{fields:?}");
    for field in fields {
        let name = field.rsplit('.').next().unwrap();
        let named = PAGE.contains(&format!("`{field}`")) || PAGE.contains(&format!("`.{name}`"));
        assert!(named, "{field} is not in the table");
    }
}

/// Collects the paths of all fields, with `[]` for the items of a list.
fn collect_paths(value: &serde_json::Value, path: &str, fields: &mut Vec<String>) {
    match value {
        serde_json::Value::Object(map) => {
            for (name, value) in map {
                let dot = if path.is_empty() { "" } else { "." };
                collect_paths(value, &format!("{path}{dot}{name}"), fields);
            }
        }
        serde_json::Value::Array(items) => {
            for item in items {
                collect_paths(item, &format!("{path}[]"), fields);
            }
        }
        _ => fields.push(path.to_owned()),
    }
    fields.sort();
    fields.dedup();
}
