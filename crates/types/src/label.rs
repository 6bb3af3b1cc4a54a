//! Short names that are stored inline, so that keys built from them are small and `Copy`.

use std::{borrow::Borrow, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::stable_hash;

/// The maximum length of a label in bytes.
const LABEL_BYTES: usize = 31;
/// The number of digits by which a label tells names apart that are no labels: 64 bits in hexadecimal.
const DIGEST_DIGITS: usize = 16;
/// Separates the beginning of a name from its digest.
const DIGEST_SEPARATOR: char = '~';
/// Stands in the beginning of a name for bytes that no label has.
const REPLACEMENT: char = '_';

/// A name of up to 31 printable ASCII bytes without space, comma or quote.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Label {
    buf: [u8; LABEL_BYTES],
    len: u8,
}

/// A name that cannot be a label.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidLabel {
    /// The rejected name.
    pub name: String,
}

impl fmt::Display for InvalidLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is no name: use 1 to {LABEL_BYTES} printable ASCII characters without space, comma or quote",
            self.name
        )
    }
}

impl std::error::Error for InvalidLabel {}

impl Label {
    /// Returns the label of any name. It is the name itself where that is a label, and otherwise the
    /// beginning of the name and a digest of all of it, so that all nodes use the same label.
    #[must_use]
    pub fn of_name(name: &str) -> Self {
        name.parse().unwrap_or_else(|_| Self::abbreviated(name))
    }

    fn abbreviated(name: &str) -> Self {
        let start_len = LABEL_BYTES - DIGEST_DIGITS - DIGEST_SEPARATOR.len_utf8();
        let start = name.bytes().take(start_len);
        let start = start.map(|byte| match byte {
            byte if is_label_byte(&byte) => char::from(byte),
            _ => REPLACEMENT,
        });
        let start: String = start.collect();
        let digest = stable_hash(name.bytes());
        let text = format!("{start}{DIGEST_SEPARATOR}{digest:0DIGEST_DIGITS$x}");
        text.parse().expect("the abbreviated name is no label")
    }

    /// The label's text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        let bytes = &self.buf[..usize::from(self.len)];
        std::str::from_utf8(bytes).expect("label contains non-ASCII bytes")
    }
}

fn is_label_byte(byte: &u8) -> bool {
    byte.is_ascii_graphic() && !matches!(byte, b',' | b'"' | b'\'')
}

impl FromStr for Label {
    type Err = InvalidLabel;

    fn from_str(name: &str) -> Result<Self, InvalidLabel> {
        let bytes = name.as_bytes();
        let fits = (1..=LABEL_BYTES).contains(&bytes.len());
        if !fits || !bytes.iter().all(is_label_byte) {
            return Err(InvalidLabel { name: name.into() });
        }
        let mut buf = [0; LABEL_BYTES];
        buf[..bytes.len()].copy_from_slice(bytes);
        let len = u8::try_from(bytes.len()).expect("label length does not fit in a u8");
        Ok(Self { buf, len })
    }
}

impl TryFrom<String> for Label {
    type Error = InvalidLabel;

    fn try_from(name: String) -> Result<Self, InvalidLabel> {
        name.parse()
    }
}

impl From<Label> for String {
    fn from(label: Label) -> Self {
        label.as_str().into()
    }
}

impl fmt::Debug for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self.as_str(), f)
    }
}

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

macro_rules! label {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Label);

        impl $name {
            /// Returns the label of any name, as [`Label::of_name`] does.
            #[must_use]
            pub fn of_name(name: &str) -> Self {
                Self(Label::of_name(name))
            }

            /// The name's text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl FromStr for $name {
            type Err = InvalidLabel;

            fn from_str(name: &str) -> Result<Self, InvalidLabel> {
                name.parse().map(Self)
            }
        }

        impl From<Label> for $name {
            fn from(label: Label) -> Self {
                Self(label)
            }
        }

        impl Borrow<Label> for $name {
            fn borrow(&self) -> &Label {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

label! {
    /// A tenant of the fleet.
    Workspace
}
label! {
    /// A kind of call, named after its service and first path segment, or by the table.
    Route
}
label! {
    /// A kind of request within a route, such as a sign-off.
    Class
}
label! {
    /// A service that is provided by several backend servers.
    Service
}
label! {
    /// A part of a region whose servers may all fail together.
    FailureDomain
}
