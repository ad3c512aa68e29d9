//! Deserialises a tree into a typed value, with recovery from faults.
//!
//! A usual deserialiser stops at the first fault. This one records the fault,
//! substitutes a valid placeholder and continues, so that all faults of a
//! document are reported at once. The value that it returns is only good for
//! finding further faults.

use std::{cell, fmt};

use serde::de::{self, Error as _};

use super::tree;

/// Placeholder for a missing text; valid as a digest too.
const TEXT_PLACEHOLDER: &str = "0000000000000000000000000000000000000000000000000000000000000000";

/// Most repairs of a document; the search for faults then stops.
const MAX_REPAIRS: usize = 200;

/// A fault at a path, before its position is known.
#[derive(Clone, Debug)]
pub(super) struct Defect {
    pub path: Vec<String>,
    pub problem: String,
    pub allowed: String,
}

/// Why a value could not be read.
#[derive(Debug)]
struct Error {
    reason: String,
    /// The field that is missing, if this is the reason.
    missing: Option<&'static str>,
    /// Path of the value; `None` until a reader sets it.
    path: Option<Vec<String>>,
}

impl Error {
    /// Sets the path of the error unless a deeper value has set it.
    fn at(mut self, path: &[String]) -> Self {
        self.path.get_or_insert_with(|| path.to_vec());
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for Error {}

impl de::Error for Error {
    fn custom<T: fmt::Display>(msg: T) -> Self {
        Self { reason: msg.to_string(), missing: None, path: None }
    }

    fn missing_field(field: &'static str) -> Self {
        Self { reason: "is missing".to_owned(), missing: Some(field), path: None }
    }
}

/// Reads `node` as `T` and records its faults in `defects`.
///
/// A fault that stops the deserialiser is repaired in `node`, which is then
/// read again. Returns `None` if that is not possible.
pub(super) fn read<T: de::DeserializeOwned>(
    node: &mut tree::Node,
    defects: &mut Vec<Defect>,
) -> Option<T> {
    for _ in 0..MAX_REPAIRS {
        let recorded = cell::RefCell::new(Vec::new());
        let reader = Reader { node, path: Vec::new(), defects: &recorded };
        match T::deserialize(reader) {
            Ok(value) => {
                defects.append(&mut recorded.into_inner());
                return Some(value);
            }
            Err(error) => repair(node, error, defects)?,
        }
    }
    None
}

/// Substitutes a placeholder for a value that is missing or unreadable.
///
/// Returns `None` if that is not possible. Faults within a placeholder are not
/// recorded.
fn repair(node: &mut tree::Node, error: Error, defects: &mut Vec<Defect>) -> Option<()> {
    let mut path = error.path.unwrap_or_default();
    let target = node.at_mut(&path)?;
    let unreported = target.placeholder;
    if let Some(field) = error.missing {
        let (line, column) = (target.line, target.column);
        let inserted = tree::Node { line, column, placeholder: true, value: tree::Value::Missing };
        let field = field.to_owned();
        path.push(field.clone());
        match &mut target.value {
            tree::Value::Map(fields) => fields.push((field, inserted)),
            value => *value = tree::Value::Map(vec![(field, inserted)]),
        }
    } else {
        target.value = tree::Value::Missing;
        target.placeholder = true;
    }
    if !unreported {
        defects.push(Defect { path, problem: error.reason, allowed: String::new() });
    }
    Some(())
}

/// Deserialiser of one node.
struct Reader<'a> {
    node: &'a tree::Node,
    path: Vec<String>,
    defects: &'a cell::RefCell<Vec<Defect>>,
}

impl<'a> Reader<'a> {
    fn child(&self, name: String, node: &'a tree::Node) -> Self {
        let mut path = self.path.clone();
        path.push(name);
        Self { node, path, defects: self.defects }
    }

    fn record(&self, problem: String, allowed: &str) {
        let path = self.path.clone();
        let allowed = allowed.to_owned();
        self.defects.borrow_mut().push(Defect { path, problem, allowed });
    }

    /// Records a value of the wrong type, unless it is a placeholder.
    fn record_type_defect(&self, allowed: &str) {
        if self.node.value != tree::Value::Missing {
            self.record(format!("{} is not allowed here", self.node.value), allowed);
        }
    }

    fn integer(&self) -> u64 {
        const ALLOWED: &str = "a whole number, not negative";
        if let tree::Value::Integer(number) = &self.node.value
            && let Ok(number) = u64::try_from(*number)
        {
            return number;
        }
        self.record_type_defect(ALLOWED);
        1
    }

    fn text(&self) -> String {
        match &self.node.value {
            tree::Value::Text(text) => text.clone(),
            tree::Value::Bool(value) => value.to_string(),
            tree::Value::Integer(number) => number.to_string(),
            tree::Value::Float(number) => number.to_string(),
            _ => {
                self.record_type_defect("a text");
                TEXT_PLACEHOLDER.to_owned()
            }
        }
    }

    fn map(&self) -> &'a [(String, tree::Node)] {
        if let tree::Value::Map(fields) = &self.node.value {
            return fields;
        }
        self.record_type_defect("a map with fields");
        &[]
    }

    fn list(&self) -> &'a [tree::Node] {
        if let tree::Value::List(items) = &self.node.value {
            return items;
        }
        self.record_type_defect("a list");
        &[]
    }
}

impl fmt::Display for tree::Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing | Self::Null => f.write_str("nothing"),
            Self::Bool(value) => value.fmt(f),
            Self::Integer(number) => number.fmt(f),
            Self::Float(number) => number.fmt(f),
            Self::Text(text) => write!(f, "{text:?}"),
            Self::List(_) => f.write_str("a list"),
            Self::Map(_) => f.write_str("a map"),
        }
    }
}

macro_rules! integers {
    ($($method:ident $type:ty;)*) => {
        $(
            fn $method<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
                let number = self.integer();
                if <$type>::try_from(number).is_ok() {
                    return visitor.visit_u64(number);
                }
                self.record_type_defect(concat!("a whole number that fits ", stringify!($type)));
                visitor.visit_u64(1)
            }
        )*
    };
}

impl<'de> de::Deserializer<'de> for Reader<'_> {
    type Error = Error;

    integers! {
        deserialize_u8 u8;
        deserialize_u16 u16;
        deserialize_u32 u32;
        deserialize_u64 u64;
    }

    fn deserialize_f64<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match &self.node.value {
            tree::Value::Float(number) => visitor.visit_f64(*number),
            tree::Value::Integer(number) => visitor.visit_f64(*number as f64),
            _ => {
                self.record_type_defect("a number");
                visitor.visit_f64(1.0)
            }
        }
    }

    fn deserialize_bool<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        if let tree::Value::Bool(value) = self.node.value {
            return visitor.visit_bool(value);
        }
        self.record_type_defect("true or false");
        visitor.visit_bool(true)
    }

    fn deserialize_str<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_string(self.text())
    }

    fn deserialize_string<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_string(self.text())
    }

    fn deserialize_identifier<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_string(self.text())
    }

    fn deserialize_newtype_struct<V: de::Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_option<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        if self.node.value == tree::Value::Null {
            return visitor.visit_none();
        }
        visitor.visit_some(self)
    }

    fn deserialize_seq<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let list = self.list();
        visitor.visit_seq(Items { reader: self, list, next: 0 })
    }

    fn deserialize_struct<V: de::Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let path = self.path.clone();
        let present = self.map();
        let value = visitor.visit_map(Fields { reader: self, known: fields, present, next: 0 });
        value.map_err(|error| error.at(&path))
    }

    fn deserialize_enum<V: de::Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let text = self.text();
        let variant = variants.iter().find(|variant| **variant == text);
        if variant.is_none() && self.node.value != tree::Value::Missing {
            self.record(format!("{text:?} is not allowed here"), &variants.join(" or "));
        }
        let variant = variant.or(variants.first()).copied().unwrap_or_default();
        visitor.visit_enum(de::value::StrDeserializer::new(variant))
    }

    fn deserialize_any<V: de::Visitor<'de>>(self, _visitor: V) -> Result<V::Value, Error> {
        Err(Error::custom("values of any kind are not read"))
    }

    serde::forward_to_deserialize_any! {
        i8 i16 i32 i64 f32 char bytes byte_buf unit unit_struct tuple tuple_struct map ignored_any
    }
}

/// Access to the items of a list.
struct Items<'a> {
    reader: Reader<'a>,
    list: &'a [tree::Node],
    next: usize,
}

impl<'de> de::SeqAccess<'de> for Items<'_> {
    type Error = Error;

    fn next_element_seed<S: de::DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Error> {
        let Some(node) = self.list.get(self.next) else {
            return Ok(None);
        };
        let reader = self.reader.child(self.next.to_string(), node);
        let path = reader.path.clone();
        self.next += 1;
        seed.deserialize(reader).map(Some).map_err(|error| error.at(&path))
    }
}

/// Access to the fields of a map; unknown ones are recorded as faults and skipped.
struct Fields<'a> {
    reader: Reader<'a>,
    known: &'static [&'static str],
    present: &'a [(String, tree::Node)],
    next: usize,
}

impl<'de> de::MapAccess<'de> for Fields<'_> {
    type Error = Error;

    fn next_key_seed<S: de::DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Error> {
        while let Some((name, node)) = self.present.get(self.next) {
            if self.known.contains(&&**name) {
                break;
            }
            let allowed = self.known.join(", ");
            let reader = self.reader.child(name.clone(), node);
            reader.record("is not a field of this format".to_owned(), &allowed);
            self.next += 1;
        }
        let Some((name, _)) = self.present.get(self.next) else {
            return Ok(None);
        };
        seed.deserialize(de::value::StrDeserializer::new(name)).map(Some)
    }

    fn next_value_seed<S: de::DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, Error> {
        let Some((name, node)) = self.present.get(self.next) else {
            return Err(Error::custom("no value"));
        };
        self.next += 1;
        let reader = self.reader.child(name.clone(), node);
        let path = reader.path.clone();
        seed.deserialize(reader).map_err(|error| error.at(&path))
    }
}
