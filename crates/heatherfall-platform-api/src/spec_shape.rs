//! Reads the spec of a stored object as far as its kind uses it.
//!
//! Other writers may store objects of any content up to the store's limit for a value, and a tree of
//! JSON values takes dozens of times its text. A reader therefore names the fields that it uses; all
//! others are checked and skipped without being built.

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

/// Deepest nesting of a spec. Those of the platform have a few levels, and entries send specs to each
/// other inside of messages.
const MAX_SPEC_DEPTH: usize = 32;
/// Longest text, in bytes, of a field and of a name in a map. Names of services and failure domains and
/// addresses are far shorter.
const MAX_TEXT_BYTES: usize = 1 << 10;

/// The part of a value that its reader uses.
#[derive(Clone, Copy, Debug)]
pub enum SpecShape {
    /// Nothing of it; it is read as null.
    Nothing,
    /// A text of at most 1 KiB, a number, a truth value or null. Anything else is read as an empty
    /// array or object, which no such field accepts.
    Scalar,
    /// An object with these fields.
    Record(&'static [FieldShape]),
    /// An object with a value of this shape for each name of at most 1 KiB.
    Map(&'static SpecShape),
    /// All of it.
    Whole,
}

/// A field of a [`SpecShape::Record`].
#[derive(Clone, Copy, Debug)]
pub struct FieldShape {
    /// Key of the field.
    pub name: &'static str,
    /// Shape of its value.
    pub shape: SpecShape,
}

impl FieldShape {
    /// A field of the shape [`SpecShape::Scalar`].
    pub const fn scalar(name: &'static str) -> Self {
        Self { name, shape: SpecShape::Scalar }
    }
}

impl SpecShape {
    /// Whether all of a value is kept.
    pub fn is_whole(self) -> bool {
        matches!(self, Self::Whole)
    }

    /// Reads the part of `json` that has this shape. If a key is repeated, its last value counts.
    ///
    /// # Errors
    ///
    /// Returns an error if `json` is no JSON, has a number out of range or is nested more than 32
    /// levels deep, also in the parts that are skipped.
    pub fn read(self, json: &str) -> Result<Value, serde_json::Error> {
        let mut deserializer = serde_json::Deserializer::from_str(json);
        let value = ShapeReader { shape: self, depth: 0 }.deserialize(&mut deserializer)?;
        deserializer.end()?;
        Ok(value)
    }
}

/// Reads one value at a depth.
#[derive(Clone, Copy, Debug)]
struct ShapeReader {
    shape: SpecShape,
    /// Number of arrays and objects around the value.
    depth: usize,
}

impl ShapeReader {
    fn inner<E: Error>(self, shape: SpecShape) -> Result<Self, E> {
        if self.depth == MAX_SPEC_DEPTH {
            return Err(E::custom("nested too deeply"));
        }
        Ok(Self { shape, depth: self.depth + 1 })
    }

    fn keeps_nothing(self) -> bool {
        matches!(self.shape, SpecShape::Nothing)
    }

    fn scalar(self, value: Value) -> Value {
        if self.keeps_nothing() { Value::Null } else { value }
    }

    fn is_kept(self, text: &str) -> bool {
        self.shape.is_whole() || text.len() <= MAX_TEXT_BYTES
    }

    /// Key under which the value of `key` is kept, and its shape.
    fn field(self, key: &str) -> Option<(String, SpecShape)> {
        let shape = match self.shape {
            SpecShape::Nothing | SpecShape::Scalar => return None,
            SpecShape::Record(fields) => fields.iter().find(|field| field.name == key)?.shape,
            SpecShape::Map(shape) => *shape,
            SpecShape::Whole => SpecShape::Whole,
        };
        self.is_kept(key).then(|| (key.to_owned(), shape))
    }
}

impl<'de> DeserializeSeed<'de> for ShapeReader {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ShapeReader {
    type Value = Value;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(self.scalar(value.into()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(self.scalar(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(self.scalar(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(self.scalar(Number::from_f64(value).map_or(Value::Null, Value::Number)))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        if self.keeps_nothing() {
            return Ok(Value::Null);
        }
        // A text that was cut could pass for a valid one.
        let is_kept = self.is_kept(value);
        Ok(if is_kept { value.into() } else { Value::Array(Vec::new()) })
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let is_whole = self.shape.is_whole();
        let shape = if is_whole { SpecShape::Whole } else { SpecShape::Nothing };
        let reader = self.inner(shape)?;
        let mut items = Vec::new();
        while let Some(item) = seq.next_element_seed(reader)? {
            if is_whole {
                items.push(item);
            }
        }
        Ok(self.scalar(Value::Array(items)))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let skipped = self.inner(SpecShape::Nothing)?;
        let mut fields = Map::new();
        while let Some(field) = map.next_key_seed(KeyReader(self))? {
            let Some((key, shape)) = field else {
                map.next_value_seed(skipped)?;
                continue;
            };
            let value = map.next_value_seed(self.inner(shape)?)?;
            fields.insert(key, value);
        }
        Ok(self.scalar(Value::Object(fields)))
    }
}

/// Reads a key of the object that the reader is at.
#[derive(Clone, Copy, Debug)]
struct KeyReader(ShapeReader);

impl<'de> DeserializeSeed<'de> for KeyReader {
    type Value = Option<(String, SpecShape)>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_str(self)
    }
}

impl Visitor<'_> for KeyReader {
    type Value = Option<(String, SpecShape)>;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a key")
    }

    fn visit_str<E>(self, key: &str) -> Result<Self::Value, E> {
        Ok(self.0.field(key))
    }
}
