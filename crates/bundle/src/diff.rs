//! What a bundle changes, in words that an approver can sign.
//!
//! Every field is compared, so nothing changes unsaid. Keys are named by their
//! public ids alone.
//!
//! ```
//! # let text = "
//! # format: 1
//! # deployment: demo
//! # centres: [north]
//! # accounts: [{name: mayors, class: paid, rate: 100, burst: 1000}]
//! # weights: {loads_per_second: 1.5, loads_at_once: 10}
//! # ";
//! let old = bundle::read(text).unwrap();
//! let mut new = old.clone();
//! new.accounts[0].rate = 200;
//!
//! let diff = bundle::diff::Diff::new(&old, &new);
//! assert_eq!(diff.changes[0].to_string(), "account mayors: rate 100 -> 200 tokens a second");
//! ```

use std::{collections, fmt};

use crate::{format, loads};

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum Change {
    /// Something comes in.
    #[serde(rename = "in")]
    Added {
        /// What it is, and its name.
        subject: String,
        /// Its fields.
        fields: String,
    },
    /// Something goes out.
    #[serde(rename = "out")]
    Removed {
        /// What it is, and its name.
        subject: String,
        /// What that means for callers; empty if nothing.
        effect: String,
    },
    /// A field has another value.
    Field {
        /// What it is, and its name.
        subject: String,
        /// The field.
        field: String,
        /// Its value in force.
        from: String,
        /// Its new value.
        to: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { subject, fields } => write!(f, "{subject} comes in: {fields}"),
            Self::Removed { subject, effect } if effect.is_empty() => {
                write!(f, "{subject} goes out")
            }
            Self::Removed { subject, effect } => write!(f, "{subject} goes out: {effect}"),
            Self::Field { subject, field, from, to } => {
                write!(f, "{subject}: {field} {from} -> {to}{}", unit(field))
            }
        }
    }
}

/// What a bundle changes.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Diff {
    /// The changes, in the order of the format.
    pub changes: Vec<Change>,
    /// The loads that they need.
    pub loads: loads::Loads,
}

impl Diff {
    /// What changes from `old` to `new`.
    #[must_use]
    pub fn new(old: &format::Bundle, new: &format::Bundle) -> Self {
        let mut changes = Vec::new();
        let (before, after) = (serde_json::json!(old), serde_json::json!(new));
        compare(&mut changes, "deployment", &before, &after);
        Self { changes, loads: loads::Loads::between(old, new) }
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            writeln!(f, "no change")?;
        }
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        write!(f, "{}", self.loads)
    }
}

/// Compares two maps field by field; lists of named things by their names.
fn compare(
    changes: &mut Vec<Change>,
    subject: &str,
    old: &serde_json::Value,
    new: &serde_json::Value,
) {
    let (Some(old), Some(new)) = (old.as_object(), new.as_object()) else {
        return;
    };
    for (field, after) in new {
        let before = old.get(field).unwrap_or(&serde_json::Value::Null);
        if before == after {
            continue;
        }
        match (named(field, before), named(field, after)) {
            (Some(before), Some(after)) => list(changes, subject, field, &before, &after),
            _ if after.is_object() => compare(changes, field, before, after),
            _ => changes.push(Change::Field {
                subject: subject.to_owned(),
                field: field.clone(),
                from: shown(before),
                to: shown(after),
            }),
        }
    }
}

type Named<'a> = collections::BTreeMap<String, &'a serde_json::Value>;

/// The items of a list by their names; none if it has no such items.
fn named<'a>(field: &str, value: &'a serde_json::Value) -> Option<Named<'a>> {
    let name = |item: &serde_json::Value| {
        let text = |field: &str| Some(item.get(field)?.as_str()?.to_owned());
        match field {
            "adapters" => Some(format!("{}:{}", text("model")?, text("name")?)),
            "routes" => text("path"),
            "keys" => text("id"),
            _ => text("name"),
        }
    };
    value.as_array()?.iter().map(|item| Some((name(item)?, item))).collect()
}

fn list(changes: &mut Vec<Change>, parent: &str, field: &str, old: &Named<'_>, new: &Named<'_>) {
    let kind = field.strip_suffix('s').unwrap_or(field);
    let subject = |name: &String| match parent {
        "deployment" => format!("{kind} {name}"),
        _ => format!("{parent}: {kind} {name}"),
    };
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        let effect = effect(kind).to_owned();
        changes.push(Change::Removed { subject: subject(name), effect });
    }
    for (name, item) in new {
        match old.get(name) {
            Some(before) if kind == "key" && before != item => changes.push(Change::Field {
                subject: subject(name),
                field: "secret".to_owned(),
                from: "one".to_owned(),
                to: "another".to_owned(),
            }),
            Some(before) => compare(changes, &subject(name), before, item),
            None => {
                let fields = fields(kind, item);
                changes.push(Change::Added { subject: subject(name), fields });
            }
        }
    }
}

/// What it means for callers that a thing goes out.
fn effect(kind: &str) -> &'static str {
    match kind {
        "model" => "calls for it are refused as unknown-model",
        "adapter" => "calls for it are refused as unknown-adapter",
        "service" => "calls for it are refused as unknown-service",
        "route" => "calls on it are refused as unknown-route, or another route takes them",
        "account" => "its keys are refused as invalid-key",
        "key" => "it is refused as invalid-key",
        "runner" | "target" => "it gets no new work",
        _ => "",
    }
}

/// The fields of a thing that comes in.
fn fields(kind: &str, item: &serde_json::Value) -> String {
    if kind == "key" {
        return "it is admitted".to_owned();
    }
    let Some(item) = item.as_object() else {
        return shown(item);
    };
    let field = |(field, value): (&String, &serde_json::Value)| {
        let value = match named(field, value) {
            Some(items) if !items.is_empty() => items.into_keys().collect::<Vec<_>>().join(" and "),
            _ => shown(value),
        };
        format!("{field} {value}{}", unit(field))
    };
    let fields: Vec<_> = item.iter().filter(|(field, _)| *field != "name").map(field).collect();
    fields.join(", ")
}

fn shown(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Null => "nothing".to_owned(),
        serde_json::Value::Array(items) if items.is_empty() => "none".to_owned(),
        serde_json::Value::Array(items) => items.iter().map(shown).collect::<Vec<_>>().join(", "),
        value => value.to_string(),
    }
}

/// The unit of a field, with a leading space.
fn unit(field: &str) -> &'static str {
    match field {
        "rate" => " tokens a second",
        "burst" | "cost" | "max_tokens" => " tokens",
        "memory_mib" | "kv_floor_mib" => " MiB",
        "queue_ms" => " ms",
        "loads_per_second" => " loads a second",
        _ => "",
    }
}
