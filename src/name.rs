//! Names of the entities that several modules share: short immutable strings that are cheap to clone.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Longest accepted [`Customer`], in bytes.
pub const MAX_CUSTOMER_BYTES: usize = 1 << 10;

/// Why a string is not a valid name.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The name has no characters.
    #[error("a name must not be empty")]
    Empty,
    /// The name exceeds [`MAX_NAME_BYTES`] or, if it is that of a customer, [`MAX_CUSTOMER_BYTES`].
    #[error("the name is too long: it has {0} bytes")]
    Long(usize),
    /// The name contains a character other than `a-z`, `A-Z`, `0-9`, `.`, `_`, `-`.
    #[error("a name has only letters, digits, '.', '_' and '-', not {0:?}")]
    Character(char),
    /// The name of a customer contains a control character.
    #[error("the name contains the control character {0:?}")]
    Control(char),
    /// The name of a customer begins or ends with a space, which is no part of a value in HTTP.
    #[error("the name begins or ends with a space")]
    Space,
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

/// Accepts what arrives unchanged as the value of a header.
fn check_customer(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_CUSTOMER_BYTES {
        return Err(Error::Long(text.len()));
    }
    if text.starts_with(' ') || text.ends_with(' ') {
        return Err(Error::Space);
    }
    match text.chars().find(|c| c.is_control()) {
        Some(c) => Err(Error::Control(c)),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        name!(check, "not a name", $(#[$doc])* $type);
    };
    ($check:ident, $invalid:literal, $(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use nutmeghead::name::", stringify!($type), ";")]
        #[doc = concat!("let name = ", stringify!($type), "::new(\"a-1\")?;")]
        /// assert_eq!(name.as_str(), "a-1");
        #[doc = concat!("assert!(", stringify!($type), "::new(\"", $invalid, "\").is_err());")]
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
                $check(text.as_ref())?;
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
    check_customer,
    " name",
    /// An organisation as the operators of the users' platform write it: text that a header can hold.
    Customer
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
