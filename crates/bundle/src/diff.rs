//! Differences between two bundles, in text for the person who signs them.
//!
//! Every field is compared, so no change is left out. Keys are listed by their
//! public ids only.
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

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum Change {
    /// An item that only the new bundle has.
    #[serde(rename = "in")]
    Added {
        /// Kind and name of the item.
        subject: String,
        /// Its fields with their values, without its name.
        fields: String,
    },
    /// An item that only the old bundle has.
    #[serde(rename = "out")]
    Removed {
        /// Kind and name of the item.
        subject: String,
        /// Effect on callers; empty if there is none.
        effect: String,
    },
    /// A field whose value differs.
    Field {
        /// Kind and name of the item.
        subject: String,
        /// Name of the field.
        field: String,
        /// Old value.
        from: String,
        /// New value.
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

/// All differences between two bundles.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Diff {
    /// The differences, by field name in alphabetical order.
    pub changes: Vec<Change>,
    /// The loads that a rollout of them needs.
    pub loads: loads::Loads,
}

impl Diff {
    /// Compares `old` with `new`.
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

/// Compares two maps field by field, and lists of named items by name.
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
        match (index_by_name(field, before), index_by_name(field, after)) {
            (Some(before), Some(after)) => compare_lists(changes, subject, field, &before, &after),
            _ if after.is_object() => compare(changes, field, before, after),
            _ => changes.push(Change::Field {
                subject: subject.to_owned(),
                field: field.clone(),
                from: format_value(before),
                to: format_value(after),
            }),
        }
    }
}

type Named<'a> = collections::BTreeMap<String, &'a serde_json::Value>;

/// Indexes the items of a list by name; `None` if it is not a list of named items.
fn index_by_name<'a>(field: &str, value: &'a serde_json::Value) -> Option<Named<'a>> {
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

/// Compares two lists of named items.
fn compare_lists(
    changes: &mut Vec<Change>,
    parent: &str,
    field: &str,
    old: &Named<'_>,
    new: &Named<'_>,
) {
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

/// Effect on callers when an item of this kind is removed.
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

/// Lists the fields of an added item.
fn fields(kind: &str, item: &serde_json::Value) -> String {
    if kind == "key" {
        return "it is admitted".to_owned();
    }
    let Some(item) = item.as_object() else {
        return format_value(item);
    };
    let field = |(field, value): (&String, &serde_json::Value)| {
        let value = match index_by_name(field, value) {
            Some(items) if !items.is_empty() => items.into_keys().collect::<Vec<_>>().join(" and "),
            _ => format_value(value),
        };
        format!("{field} {value}{}", unit(field))
    };
    let fields: Vec<_> = item.iter().filter(|(field, _)| *field != "name").map(field).collect();
    fields.join(", ")
}

fn format_value(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Null => "nothing".to_owned(),
        serde_json::Value::Array(items) if items.is_empty() => "none".to_owned(),
        serde_json::Value::Array(items) => {
            items.iter().map(format_value).collect::<Vec<_>>().join(", ")
        }
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
