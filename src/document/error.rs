//! Why a document is refused, with the place in its text.

use std::sync::Arc;

use miette::{Diagnostic, SourceSpan};
use toml::de::{DeTable, DeValue};

use super::MAX_DOCUMENT_BYTES;

/// Why a document is refused.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// The text exceeds [`MAX_DOCUMENT_BYTES`].
    #[error("the document has {size} bytes, more than {MAX_DOCUMENT_BYTES}")]
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
        /// The place, where the parser names one.
        #[label("here")]
        span: Option<SourceSpan>,
        /// The parser's own error.
        source: Box<toml::de::Error>,
    },
    /// The document fails checks.
    #[error("the document fails {} of its checks", faults.len())]
    #[diagnostic(code(document::invalid))]
    Invalid {
        /// Each failed check; never empty.
        #[related]
        faults: Vec<Fault>,
    },
}

/// One failed check and its place.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{problem}")]
pub struct Fault {
    /// What is wrong.
    pub problem: Problem,
    /// Where it is, as a path of keys and indices.
    pub path: Path,
    #[source_code]
    text: Arc<str>,
    #[label("here")]
    span: SourceSpan,
    #[help]
    help: &'static str,
}

impl Fault {
    /// The place in the document's text.
    pub fn span(&self) -> SourceSpan {
        self.span
    }
}

/// What a document refers to by name.
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

/// What is wrong at one place.
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
        /// Largest accepted number.
        max: usize,
    },
    /// The same thing is listed twice.
    #[error("{kind} {name} is listed twice")]
    Duplicate {
        /// What is listed twice.
        kind: Kind,
        /// Its name.
        name: String,
    },
    /// A name refers to nothing in the document.
    #[error("{kind} {name} is not in the document")]
    Missing {
        /// What is referred to.
        kind: Kind,
        /// Its name.
        name: String,
    },
    /// A backend server is listed with two addresses or failure domains.
    #[error("backend server {name} has another address or failure domain in another service")]
    Differs {
        /// Its name.
        name: String,
    },
    /// A key hash is not 64 lower-case hexadecimal digits.
    #[error("a key hash has 64 lower-case hexadecimal digits")]
    Hash,
    /// An address has port 0.
    #[error("an address needs a port above 0")]
    Port,
    /// A method is not in capitals.
    #[error("a method has 1 to 16 capital letters")]
    Method,
    /// A route's prefix does not begin with `/`.
    #[error("a prefix begins with '/'")]
    Prefix,
    /// A version is empty or too long.
    #[error("a version has 1 to 64 visible ASCII characters")]
    Version,
}

impl Problem {
    fn help(&self) -> &'static str {
        match self {
            Self::Range { .. } | Self::Fraction { .. } => "set a value in the range",
            Self::Empty => "add an entry",
            Self::Long { .. } => "remove entries",
            Self::Duplicate { .. } => "remove or rename one of the two",
            Self::Missing { .. } => "add it, or correct the name",
            Self::Differs { .. } => "list it alike in each service",
            Self::Hash => "printf %s KEY | sha256sum",
            Self::Port => "write the address as IP:PORT",
            Self::Method => "write the method as GET or POST",
            Self::Prefix => "write the prefix as /path",
            Self::Version => "write the version as the engines report it",
        }
    }
}

/// One step of a [`Path`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A key of a table.
    Key(String),
    /// An index of a list, from 0.
    Index(usize),
}

/// A place in a document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Path(Vec<Step>);

impl Path {
    /// The place of `key` in the document's own table.
    pub(super) fn new(key: &str) -> Self {
        Self::default().with_key(key)
    }

    /// The place of `key` in the table here.
    pub(super) fn with_key(mut self, key: &str) -> Self {
        self.0.push(Step::Key(key.to_owned()));
        self
    }

    /// The place of the entry `index` in the list here.
    pub(super) fn with_index(mut self, index: usize) -> Self {
        self.0.push(Step::Index(index));
        self
    }

    /// The span of this place in `root`, or of the nearest place around it that the text has.
    fn span(&self, root: &DeTable<'_>) -> SourceSpan {
        let mut span = 0..0;
        let mut table = Some(root);
        let mut list = None;
        for step in &self.0 {
            let value = match step {
                Step::Key(key) => table.and_then(|t| t.get(key.as_str())),
                Step::Index(index) => list.and_then(|l: &toml::de::DeArray<'_>| l.get(*index)),
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
        for (i, step) in self.0.iter().enumerate() {
            match step {
                Step::Key(key) if i == 0 => write!(f, "{key}")?,
                Step::Key(key) => write!(f, ".{key}")?,
                Step::Index(index) => write!(f, "[{index}]")?,
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
        let place =
            |path: &Path| root.as_ref().map_or_else(|| (0..0).into(), |r| path.span(r.get_ref()));
        let fault = |(path, problem): (Path, Problem)| Fault {
            help: problem.help(),
            span: place(&path),
            text: text.clone(),
            problem,
            path,
        };
        Self::Invalid { faults: problems.into_iter().map(fault).collect() }
    }
}
