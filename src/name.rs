//! Names of the entities that several modules share: short immutable strings that are cheap to clone.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Why a string is not a valid name.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The name has no characters.
    #[error("a name must not be empty")]
    Empty,
    /// The name exceeds [`MAX_NAME_BYTES`].
    #[error("a name has at most {MAX_NAME_BYTES} bytes, this one has {0}")]
    Long(usize),
    /// The name contains a character other than `a-z`, `A-Z`, `0-9`, `.`, `_`, `-`.
    #[error("a name has only letters, digits, '.', '_' and '-', not {0:?}")]
    Character(char),
}

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(Error::Long(text.len()));
    }
    match text.chars().find(|c| !c.is_ascii_alphanumeric() && !"._-".contains(*c)) {
        Some(c) => Err(Error::Character(c)),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use nutmeghead::name::", stringify!($type), ";")]
        #[doc = concat!("let name = ", stringify!($type), "::new(\"a-1\")?;")]
        /// assert_eq!(name.as_str(), "a-1");
        #[doc = concat!("assert!(", stringify!($type), "::new(\"not a name\").is_err());")]
        /// # Ok::<(), nutmeghead::name::Error>(())
        /// ```
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Creates a name from `text`.
            ///
            /// # Errors
            ///
            /// Returns an [`Error`] if `text` is empty, too long or has an invalid character.
            pub fn new(text: impl AsRef<str>) -> Result<Self, Error> {
                check(text.as_ref())?;
                Ok(Self(text.as_ref().into()))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                Self::new(text)
            }
        }

        impl std::str::FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                Self::new(text)
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl std::borrow::Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

name!(
    /// A customer whose callers share the engines.
    Organisation
);
name!(
    /// A model that engines serve.
    Model
);
name!(
    /// A version of the software of servers. Versions have no order.
    Build
);
name!(
    /// A part of a prompt that several requests may share.
    Part
);
name!(
    /// A class of requests with its own priority and objectives.
    Workload
);
name!(
    /// A model engine.
    Engine
);
name!(
    /// A plain service, which serves calls without a model engine.
    Service
);
name!(
    /// A backend server: one process of a plain service.
    Server
);
name!(
    /// An entry host.
    Host
);
name!(
    /// A failure domain.
    Domain
);
name!(
    /// A region.
    Region
);
name!(
    /// An environment, such as trial or production, with its own stream of configuration documents.
    Environment
);
name!(
    /// A low-rank adapter that an engine loads on top of a model.
    Adapter
);
