//! Operators' commands on an environment's stream.

use std::sync::Arc;
use std::time::Duration;

use miette::Diagnostic;
use tokio::time::sleep;
use uuid::Uuid;

use super::{Accepted, Chain, Change, Conflict, Record, RecordError, Source, Verdict, stream};
use crate::log::Log;
use crate::{document, log, name};

/// Attempts of a call to the log.
const ATTEMPTS: u32 = 6;

/// Pause after the first failed attempt, in milliseconds; it doubles with each further one.
const BACKOFF_MS: u64 = 100;

/// Why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// The document fails its checks. Nothing was appended.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Document(#[from] document::Error),
    /// Another document is in force than the one that the command builds on. The command changed nothing.
    #[error("conflict in environment {environment}: {conflict}")]
    #[diagnostic(
        code(config::conflict),
        help(
            "look at the document in force with 'config show', then decide whether to repeat the command"
        )
    )]
    Conflict {
        /// The environment.
        environment: name::Environment,
        /// What the command lost against.
        conflict: Conflict,
    },
    /// The environment has no document.
    #[error("environment {environment} has no document")]
    #[diagnostic(code(config::empty), help("submit one with 'config submit'"))]
    Empty {
        /// The environment.
        environment: name::Environment,
    },
    /// A document cannot be promoted into its own environment.
    #[error("environment {environment} cannot be promoted into itself")]
    #[diagnostic(code(config::same))]
    Same {
        /// The environment.
        environment: name::Environment,
    },
    /// The log no longer tells which document is in force. Nothing was appended.
    #[error("the log no longer tells which document is in force in environment {environment}")]
    #[diagnostic(
        code(config::expired),
        help(
            "a host that knows it renews it within two minutes; if no host does, restore a document"
        )
    )]
    Expired {
        /// The environment.
        environment: name::Environment,
    },
    /// The log failed before anything was appended.
    #[error("nothing was changed")]
    #[diagnostic(code(config::log), help("try again when the log service answers"))]
    Log(#[from] log::Error),
    /// The log failed after the record may have been appended.
    #[error("it is not known whether record {id} was accepted")]
    #[diagnostic(
        code(config::unknown),
        help("'config show' tells once the log service answers; repeating the command is safe")
    )]
    Unknown {
        /// The record.
        id: Uuid,
    },
    /// The record was refused though its document passed the checks here.
    #[error("record {id} was refused")]
    #[diagnostic(code(config::refused), help("use the same release as the entry hosts"))]
    Refused {
        /// The record.
        id: Uuid,
    },
    /// The record cannot be written. Nothing was appended.
    #[error(transparent)]
    #[diagnostic(code(config::record))]
    Record(#[from] RecordError),
}

/// A document that was put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// The record that did.
    pub id: Uuid,
    /// The document's version.
    pub version: u64,
}

/// Submits, promotes and shows documents on behalf of one person.
#[derive(Clone, Debug)]
pub struct Operator<L> {
    log: L,
    author: Arc<str>,
    backoff: Duration,
}

impl<L: Log> Operator<L> {
    /// An operator who is named `author` in the records, 1 to 256 bytes.
    ///
    /// ```
    /// let log = nutmeghead::log::Http::new("127.0.0.1:7000".parse()?);
    /// let operator = nutmeghead::config::Operator::new(log, "ada");
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(log: L, author: &str) -> Self {
        Self { log, author: author.into(), backoff: Duration::from_millis(BACKOFF_MS) }
    }

    /// Sets the pause after the first failed attempt; it doubles with each further one.
    pub fn with_backoff(mut self, backoff: Duration) -> Self {
        self.backoff = backoff;
        self
    }

    /// Reads the whole stream of `environment`.
    ///
    /// # Errors
    ///
    /// [`Error::Log`] if the log fails, [`Error::Expired`] if it no longer tells what is in force.
    pub async fn show(&self, environment: &name::Environment) -> Result<Chain, Error> {
        let mut chain = Chain::new();
        let mut backoff = self.backoff;
        for attempt in 1.. {
            match self.catch_up(environment, &mut chain).await {
                Ok(()) if chain.is_anchored() => break,
                Ok(()) if attempt == ATTEMPTS => {
                    return Err(Error::Expired { environment: environment.clone() });
                }
                Err(error) if attempt == ATTEMPTS => return Err(error.into()),
                // The log may answer again, or a host may renew the document.
                _ => pause(&mut backoff).await,
            }
        }
        Ok(chain)
    }

    /// Puts `text` in force in place of the version `base`, or of the version in force now. Of several operators that
    /// replace the same version, one succeeds.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but [`Error::Empty`] and [`Error::Same`].
    pub async fn submit(
        &self,
        environment: &name::Environment,
        base: Option<u64>,
        text: &str,
    ) -> Result<Receipt, Error> {
        document::parse(text)?;
        let chain = self.show(environment).await?;
        check_version(environment, &chain, base)?;
        let change = Change::Submit { base: chain.version(), text: text.into() };
        self.put_in_force(environment, chain, change).await
    }

    /// Puts the document in force in `from` in force in `to`, unchanged. With a `version` it must still be that one.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; [`Error::Conflict`] also if the document was replaced in `from` or `to` meanwhile.
    pub async fn promote(
        &self,
        from: &name::Environment,
        to: &name::Environment,
        version: Option<u64>,
    ) -> Result<Receipt, Error> {
        if from == to {
            return Err(Error::Same { environment: to.clone() });
        }
        let source = self.show(from).await?;
        check_version(from, &source, version)?;
        let Some(Accepted { snapshot, .. }) = source.accepted().cloned() else {
            return Err(Error::Empty { environment: from.clone() });
        };
        document::parse(&snapshot.text)?;
        let target = self.show(to).await?;
        let confirmed_ms = self.confirm(from, source, snapshot.version).await?;
        let source = Source { environment: from.clone(), version: snapshot.version, confirmed_ms };
        let change = Change::Promote { base: target.version(), text: snapshot.text, source };
        self.put_in_force(to, target, change).await
    }

    /// Puts `text` in force whatever was in force before. It is for a stream that no longer tells.
    ///
    /// # Errors
    ///
    /// [`Error::Document`], [`Error::Log`], [`Error::Unknown`], [`Error::Record`].
    pub async fn restore(
        &self,
        environment: &name::Environment,
        text: &str,
    ) -> Result<Receipt, Error> {
        document::parse(text)?;
        let change = Change::Restore { text: text.into() };
        self.put_in_force(environment, Chain::new(), change).await
    }

    /// The log's time at which `version` was in force, in milliseconds since the Unix epoch.
    async fn confirm(
        &self,
        environment: &name::Environment,
        mut chain: Chain,
        version: u64,
    ) -> Result<u64, Error> {
        let record = Record::new(&self.author, Change::Confirm { base: version });
        match self.settle(environment, &mut chain, &record).await? {
            Verdict::Confirmed { time_ms } => Ok(time_ms),
            verdict => Err(refusal(environment, &record, verdict)),
        }
    }

    async fn put_in_force(
        &self,
        environment: &name::Environment,
        mut chain: Chain,
        change: Change,
    ) -> Result<Receipt, Error> {
        let record = Record::new(&self.author, change);
        match self.settle(environment, &mut chain, &record).await? {
            Verdict::Accepted { version } => Ok(Receipt { id: record.id, version }),
            verdict => Err(refusal(environment, &record, verdict)),
        }
    }

    /// Appends `record` and reads its verdict. After a lost answer it reads the stream for the record, and appends it
    /// again if it is not there; a copy that arrives late cannot change the verdict.
    async fn settle(
        &self,
        environment: &name::Environment,
        chain: &mut Chain,
        record: &Record,
    ) -> Result<Verdict, Error> {
        let body = record.encode()?;
        let mut backoff = self.backoff;
        let mut appended = false;
        let mut uncertain = false;
        let mut failure = log::Error::Unreachable;
        for _ in 0..ATTEMPTS {
            if !appended {
                match self.log.append(&stream(environment), body.clone()).await {
                    Ok(_) => appended = true,
                    Err(error) => {
                        uncertain |= matches!(error, log::Error::Lost | log::Error::Malformed);
                        failure = error;
                    }
                }
            }
            let read = self.catch_up(environment, chain).await;
            if let Some(verdict) = read.ok().and_then(|()| chain.verdict(record.id)) {
                return Ok(verdict);
            }
            pause(&mut backoff).await;
        }
        if appended || uncertain {
            return Err(Error::Unknown { id: record.id });
        }
        Err(failure.into())
    }

    /// Reads to the end of the stream.
    async fn catch_up(
        &self,
        environment: &name::Environment,
        chain: &mut Chain,
    ) -> Result<(), log::Error> {
        loop {
            let batch = self.log.read(&stream(environment), chain.next(), 0).await?;
            chain.read(&batch);
            if batch.records.is_empty() {
                return Ok(());
            }
        }
    }
}

async fn pause(backoff: &mut Duration) {
    sleep(*backoff).await;
    *backoff *= 2;
}

/// Fails early if the operator expects another version than the one in force.
fn check_version(
    environment: &name::Environment,
    chain: &Chain,
    expected: Option<u64>,
) -> Result<(), Error> {
    match expected.and_then(|version| chain.conflict(version)) {
        Some(conflict) => Err(Error::Conflict { environment: environment.clone(), conflict }),
        None => Ok(()),
    }
}

fn refusal(environment: &name::Environment, record: &Record, verdict: Verdict) -> Error {
    match verdict {
        Verdict::Conflict(conflict) => {
            Error::Conflict { environment: environment.clone(), conflict }
        }
        _ => Error::Refused { id: record.id },
    }
}
