//! Errors of documents, with their positions in the text.

use std::sync::Arc;

use miette::{Diagnostic, SourceSpan};
use toml::de::{DeTable, DeValue};

use super::MAX_DOCUMENT_BYTES;

/// Why a document is rejected.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// The text exceeds [`MAX_DOCUMENT_BYTES`].
    #[error("document of {size} bytes exceeds the limit of {MAX_DOCUMENT_BYTES} bytes")]
    #[diagnostic(code(document::large))]
    Large {
        /// Size of the text, in bytes.
        size: usize,
    },
    /// The text is not TOML, or has an unknown key or a value of the wrong type.
    #[error("{}", source.message())]
    #[diagnostic(
        code(document::syntax),
        help("docs/CONFIGURATION.md lists every key with its type and range")
    )]
    Syntax {
        /// The document's text.
        #[source_code]
        text: Arc<str>,
        /// The position in the text, if the parser reports one.
        #[label("here")]
        span: Option<SourceSpan>,
        /// The parser's error.
        source: Box<toml::de::Error>,
    },
    /// The document violates limits, names or cross-references.
    #[error("the document fails {} of its checks", violations.len())]
    #[diagnostic(code(document::invalid))]
    Invalid {
        /// The violations; never empty.
        #[related]
        violations: Vec<Violation>,
    },
}

/// A problem and its position in the document.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{problem}")]
pub struct Violation {
    /// The problem.
    pub problem: Problem,
    /// The position, as a path of keys and indices.
    pub path: Path,
    #[source_code]
    text: Arc<str>,
    #[label("here")]
    span: SourceSpan,
    #[help]
    help: &'static str,
}

impl Violation {
    /// The position in the document's text.
    pub fn span(&self) -> SourceSpan {
        self.span
    }
}

/// The kind of an item that must be unique or defined in a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An organisation.
    Organisation,
    /// A workload.
    Workload,
    /// A model.
    Model,
    /// An adapter.
    Adapter,
    /// An engine.
    Engine,
    /// A plain service.
    Service,
    /// A backend server.
    Server,
    /// A route of a plain service.
    Route,
    /// An objective.
    Objective,
    /// A bearer key's hash.
    Key,
    /// A listening address.
    Address,
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Organisation => "organisation",
            Self::Workload => "workload",
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Engine => "engine",
            Self::Service => "service",
            Self::Server => "backend server",
            Self::Route => "route",
            Self::Objective => "objective",
            Self::Key => "key hash",
            Self::Address => "address",
        })
    }
}

/// Why a value in a document is not valid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// A number is outside its range.
    #[error("the value must be from {min} to {max}")]
    Range {
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// A fraction is outside its range.
    #[error("the value must be {range}")]
    Fraction {
        /// The accepted range.
        range: &'static str,
    },
    /// A list that must have entries is empty.
    #[error("the list must not be empty")]
    Empty,
    /// A list has too many entries.
    #[error("the list has more than {max} entries")]
    Long {
        /// Largest accepted number of entries.
        max: usize,
    },
    /// The same item is listed twice.
    #[error("{kind} {name} is listed twice")]
    Duplicate {
        /// The kind of the item.
        kind: Kind,
        /// The name of the item.
        name: String,
    },
    /// A name refers to an item that the document does not define.
    #[error("{kind} {name} is not defined in the document")]
    Missing {
        /// The kind of the item.
        kind: Kind,
        /// The name of the item.
        name: String,
    },
    /// A backend server is listed with different addresses or failure domains.
    #[error("backend server {name} has a different address or failure domain in another service")]
    Inconsistent {
        /// The name of the server.
        name: String,
    },
    /// A key hash is not 64 lower-case hexadecimal digits.
    #[error("a key hash must have 64 lower-case hexadecimal digits")]
    Hash,
    /// An address has port 0.
    #[error("an address must have a port above 0")]
    Port,
    /// A method is not 1 to 16 capital letters.
    #[error("a method must have 1 to 16 capital letters")]
    Method,
    /// A route's prefix does not begin with `/`.
    #[error("a prefix must begin with '/'")]
    Prefix,
    /// A version is not 1 to 64 visible ASCII characters.
    #[error("a version must have 1 to 64 visible ASCII characters")]
    Version,
}

impl Problem {
    fn help(&self) -> &'static str {
        match self {
            Self::Range { .. } | Self::Fraction { .. } => "set a value within the range",
            Self::Empty => "add an entry",
            Self::Long { .. } => "remove entries",
            Self::Duplicate { .. } => "remove or rename one of the two",
            Self::Missing { .. } => "define it, or correct the name",
            Self::Inconsistent { .. } => "use the same address and failure domain in all services",
            Self::Hash => "compute the hash with: printf %s KEY | sha256sum",
            Self::Port => "write the address as IP:PORT",
            Self::Method => "write the method in capitals, such as GET or POST",
            Self::Prefix => "write the prefix as /path",
            Self::Version => "write the version exactly as the engines report it",
        }
    }
}

/// One segment of a [`Path`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    /// A key of a table.
    Key(String),
    /// An index of a list, from 0.
    Index(usize),
}

/// The path of keys and indices to a value in a document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Path(Vec<Segment>);

impl Path {
    /// The path of `key` in the document's root table.
    pub(super) fn new(key: &str) -> Self {
        Self::default().with_key(key)
    }

    /// The path of `key` in the table at this path.
    pub(super) fn with_key(mut self, key: &str) -> Self {
        self.0.push(Segment::Key(key.to_owned()));
        self
    }

    /// The path of the entry `index` in the list at this path.
    pub(super) fn with_index(mut self, index: usize) -> Self {
        self.0.push(Segment::Index(index));
        self
    }

    /// The span of the value at this path in `root`, or of its nearest ancestor that the text contains.
    fn span(&self, root: &DeTable<'_>) -> SourceSpan {
        let mut span = 0..0;
        let mut table = Some(root);
        let mut list = None;
        for segment in &self.0 {
            let value = match segment {
                Segment::Key(key) => table.and_then(|t| t.get(key.as_str())),
                Segment::Index(index) => list.and_then(|l: &toml::de::DeArray<'_>| l.get(*index)),
            };
            let Some(value) = value else { break };
            span = value.span();
            table = value.get_ref().as_table();
            list = match value.get_ref() {
                DeValue::Array(l) => Some(l),
                _ => None,
            };
        }
        span.into()
    }
}

impl std::fmt::Display for Path {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, segment) in self.0.iter().enumerate() {
            match segment {
                Segment::Key(key) if i == 0 => write!(f, "{key}")?,
                Segment::Key(key) => write!(f, ".{key}")?,
                Segment::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

impl Error {
    pub(super) fn syntax(text: &str, source: toml::de::Error) -> Self {
        let span = source.span().map(SourceSpan::from);
        Self::Syntax { text: text.into(), span, source: Box::new(source) }
    }

    pub(super) fn invalid(text: &str, problems: Vec<(Path, Problem)>) -> Self {
        let root = DeTable::parse(text).ok();
        let text: Arc<str> = text.into();
        let locate =
            |path: &Path| root.as_ref().map_or_else(|| (0..0).into(), |r| path.span(r.get_ref()));
        let violation = |(path, problem): (Path, Problem)| Violation {
            help: problem.help(),
            span: locate(&path),
            text: text.clone(),
            problem,
            path,
        };
        Self::Invalid { violations: problems.into_iter().map(violation).collect() }
    }
}
