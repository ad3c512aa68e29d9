//! A YAML document as a tree in which each value has its position.

use std::fmt;

/// A value of a document.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Value {
    /// Placeholder for a missing or unusable value; reads as any type.
    Missing,
    Null,
    Bool(bool),
    Integer(i128),
    Float(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<(String, Node)>),
}

/// A value and its position.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Node {
    /// Line, from 1; 0 if unknown.
    pub line: u64,
    /// Column, from 1; 0 if unknown.
    pub column: u64,
    /// Whether it is a placeholder for a missing or unusable value.
    pub placeholder: bool,
    pub value: Value,
}

impl Node {
    /// Returns the node at `path`, whose parts are field names or list indices.
    pub fn at(&self, path: &[String]) -> Option<&Self> {
        let Some((first, rest)) = path.split_first() else {
            return Some(self);
        };
        let child = match &self.value {
            Value::List(items) => items.get(first.parse::<usize>().ok()?),
            Value::Map(fields) => {
                fields.iter().find(|(name, _)| name == first).map(|(_, node)| node)
            }
            _ => None,
        };
        child?.at(rest)
    }

    /// Returns the node at `path` for modification.
    pub fn at_mut(&mut self, path: &[String]) -> Option<&mut Self> {
        let Some((first, rest)) = path.split_first() else {
            return Some(self);
        };
        let child = match &mut self.value {
            Value::List(items) => items.get_mut(first.parse::<usize>().ok()?),
            Value::Map(fields) => {
                fields.iter_mut().find(|(name, _)| name == first).map(|(_, node)| node)
            }
            _ => None,
        };
        child?.at_mut(rest)
    }
}

impl<'de> serde::Deserialize<'de> for Node {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = serde_saphyr::Spanned::<Value>::deserialize(deserializer)?;
        Ok(Self {
            line: spanned.referenced.line(),
            column: spanned.referenced.column(),
            placeholder: false,
            value: spanned.value,
        })
    }
}

impl<'de> serde::Deserialize<'de> for Value {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Visitor)
    }
}

struct Visitor;

impl<'de> serde::de::Visitor<'de> for Visitor {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, v: bool) -> Result<Value, E> {
        Ok(Value::Bool(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Value, E> {
        Ok(Value::Integer(v.into()))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Value, E> {
        Ok(Value::Integer(v.into()))
    }

    fn visit_i128<E>(self, v: i128) -> Result<Value, E> {
        Ok(Value::Integer(v))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Value, E> {
        Ok(Value::Float(v))
    }

    fn visit_str<E>(self, v: &str) -> Result<Value, E> {
        Ok(Value::Text(v.to_owned()))
    }

    fn visit_seq<A: serde::de::SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element()? {
            list.push(item);
        }
        Ok(Value::List(list))
    }

    fn visit_map<A: serde::de::MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(Value::Map(fields))
    }
}
