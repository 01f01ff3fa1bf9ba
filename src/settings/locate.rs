//! Finds the line of a value in a JSON text, for error messages.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_path_to_error::{Path, Segment};

/// Returns the line, from 1, of the scalar at `path`; `None` where there is no such scalar.
///
/// Where a value was read but rejected, the JSON library reports the position
/// of the token after it, which is often on the next line.
#[must_use]
pub fn line_of(text: &str, path: &Path) -> Option<usize> {
    let steps: Vec<Step> = path.iter().filter_map(Step::of).collect();
    let mut json = serde_json::Deserializer::from_str(text);
    let err = Seek(&steps).deserialize(&mut json).err()?;
    (err.is_data() && err.line() > 0).then(|| err.line())
}

/// One step of a path: the key of an object member or the index of an array item.
enum Step<'a> {
    Key(&'a str),
    Index(usize),
}

impl<'a> Step<'a> {
    fn of(segment: &'a Segment) -> Option<Self> {
        match segment {
            Segment::Map { key } => Some(Self::Key(key)),
            Segment::Enum { variant } => Some(Self::Key(variant)),
            Segment::Seq { index } => Some(Self::Index(*index)),
            Segment::Unknown => None,
        }
    }
}

/// Visitor that follows the path and rejects the scalar at its end, so that the
/// library reports the position of the scalar.
struct Seek<'a>(&'a [Step<'a>]);

impl<'de> DeserializeSeed<'de> for Seek<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seek<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the path")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(name) = map.next_key::<String>()? {
            match self.0 {
                [Step::Key(key), rest @ ..] if *key == name => map.next_value_seed(Seek(rest))?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        for i in 0.. {
            let found = match self.0 {
                [Step::Index(index), rest @ ..] if *index == i => {
                    seq.next_element_seed(Seek(rest))?
                }
                _ => seq.next_element::<IgnoredAny>()?.map(|_| ()),
            };
            if found.is_none() {
                break;
            }
        }
        Ok(())
    }
}
