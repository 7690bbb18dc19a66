//! Commands of operators on the documents of an environment.

use std::sync::Arc;
use std::time::Duration;

use miette::Diagnostic;
use tokio::time::sleep;
use uuid::Uuid;

use super::{Accepted, Change, Conflict, Outcome, Reader, Record, RecordError, Source, stream};
use crate::log::Log;
use crate::{document, log, name};

/// Most attempts of one command to append its record or to read the stream.
const MAX_ATTEMPTS: u32 = 6;

/// Pause after the first failed attempt, in milliseconds; it doubles after each further one.
const BACKOFF_MS: u64 = 100;

/// Why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// The document fails its checks. Nothing was appended.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Document(#[from] document::Error),
    /// The document in force is not the one that the command is based on. The command changed nothing.
    #[error("conflict in environment {environment}: {conflict}")]
    #[diagnostic(
        code(config::conflict),
        help(
            "show the document in force with 'config show', then decide whether to repeat the command"
        )
    )]
    Conflict {
        /// The environment.
        environment: name::Environment,
        /// The conflict.
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
    /// The log no longer has the records that determine the document in force. Nothing was appended.
    #[error(
        "the records that determine the document in force in environment {environment} have expired"
    )]
    #[diagnostic(
        code(config::expired),
        help(
            "an entry host that has the document renews it within two minutes; if none does, restore a document"
        )
    )]
    Expired {
        /// The environment.
        environment: name::Environment,
    },
    /// The log failed before anything was appended.
    #[error("the log service failed; nothing was changed")]
    #[diagnostic(code(config::log), help("try again when the log service responds"))]
    Log(#[from] log::Error),
    /// The log failed after the record may have been appended.
    #[error("it is not known whether record {id} was accepted")]
    #[diagnostic(
        code(config::unknown),
        help(
            "once the log service responds, 'config show' shows the document in force; \
             repeating the command is safe"
        )
    )]
    Unknown {
        /// The record.
        id: Uuid,
    },
    /// The record was rejected although its document passed this release's checks.
    #[error("record {id} was rejected")]
    #[diagnostic(code(config::refused), help("use the same release as the entry hosts"))]
    Refused {
        /// The record.
        id: Uuid,
    },
    /// The record cannot be encoded. Nothing was appended.
    #[error(transparent)]
    #[diagnostic(code(config::record))]
    Record(#[from] RecordError),
}

/// Confirmation that a document was put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// The identifier of the document's record.
    pub id: Uuid,
    /// The document's version.
    pub version: u64,
}

/// Submits, promotes, restores and shows documents on behalf of one author.
#[derive(Clone, Debug)]
pub struct Operator<L> {
    log: L,
    author: Arc<str>,
    backoff: Duration,
}

impl<L: Log> Operator<L> {
    /// Creates an operator whose records name `author`, which has 1 to 256 bytes.
    ///
    /// ```
    /// let log = nutmeghead::log::Http::new("127.0.0.1:7000".parse()?);
    /// let operator = nutmeghead::config::Operator::new(log, "ada");
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(log: L, author: &str) -> Self {
        Self { log, author: author.into(), backoff: Duration::from_millis(BACKOFF_MS) }
    }

    /// Sets the pause after the first failed attempt; it doubles after each further one.
    pub fn with_backoff(mut self, backoff: Duration) -> Self {
        self.backoff = backoff;
        self
    }

    /// Reads the whole stream of `environment`.
    ///
    /// # Errors
    ///
    /// [`Error::Log`] if the log fails, [`Error::Expired`] if it no longer determines the document in force.
    pub async fn show(&self, environment: &name::Environment) -> Result<Reader, Error> {
        let mut reader = Reader::new();
        let mut backoff = self.backoff;
        for attempt in 1.. {
            match self.catch_up(environment, &mut reader).await {
                Ok(()) if reader.is_synced() => break,
                Ok(()) if attempt == MAX_ATTEMPTS => {
                    return Err(Error::Expired { environment: environment.clone() });
                }
                Err(error) if attempt == MAX_ATTEMPTS => return Err(error.into()),
                // The log may recover, or a host may renew the document.
                _ => back_off(&mut backoff).await,
            }
        }
        Ok(reader)
    }

    /// Puts `text` in force in place of the version `base`, or of the version in force now if there is no `base`. If
    /// several operators replace the same version, exactly one succeeds.
    ///
    /// # Errors
    ///
    /// Any [`Error`] except [`Error::Empty`] and [`Error::Same`].
    pub async fn submit(
        &self,
        environment: &name::Environment,
        base: Option<u64>,
        text: &str,
    ) -> Result<Receipt, Error> {
        document::parse(text)?;
        let reader = self.show(environment).await?;
        check_version(environment, &reader, base)?;
        let change = Change::Submit { base: reader.version(), text: text.into() };
        self.put_in_force(environment, reader, change).await
    }

    /// Puts the document that is in force in `from` in force in `to`, unchanged. Fails if `version` is given and is not
    /// the version in force in `from`.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; [`Error::Conflict`] also if the document in `from` or `to` was replaced during the promotion.
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

    /// Puts `text` in force regardless of the version in force. It is meant for a stream whose remaining records no
    /// longer determine the document in force.
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
        self.put_in_force(environment, Reader::new(), change).await
    }

    /// Confirms that `version` is in force. Returns the log's time of the confirmation, in milliseconds since the Unix
    /// epoch.
    async fn confirm(
        &self,
        environment: &name::Environment,
        mut reader: Reader,
        version: u64,
    ) -> Result<u64, Error> {
        let record = Record::new(&self.author, Change::Confirm { base: version });
        match self.append_and_confirm(environment, &mut reader, &record).await? {
            Outcome::Confirmed { time_ms } => Ok(time_ms),
            outcome => Err(rejection(environment, &record, outcome)),
        }
    }

    async fn put_in_force(
        &self,
        environment: &name::Environment,
        mut reader: Reader,
        change: Change,
    ) -> Result<Receipt, Error> {
        let record = Record::new(&self.author, change);
        match self.append_and_confirm(environment, &mut reader, &record).await? {
            Outcome::Accepted { version } => Ok(Receipt { id: record.id, version }),
            outcome => Err(rejection(environment, &record, outcome)),
        }
    }

    /// Appends `record` and reads its outcome from the stream. If an append fails, the stream is read first, in case
    /// the record was appended, and the record is appended again if it is not there. A late duplicate cannot change the
    /// outcome.
    async fn append_and_confirm(
        &self,
        environment: &name::Environment,
        reader: &mut Reader,
        record: &Record,
    ) -> Result<Outcome, Error> {
        let body = record.encode()?;
        let mut backoff = self.backoff;
        let mut appended = false;
        let mut uncertain = false;
        let mut failure = log::Error::Unreachable;
        for _ in 0..MAX_ATTEMPTS {
            if !appended {
                match self.log.append(&stream(environment), body.clone()).await {
                    Ok(_) => appended = true,
                    Err(error) => {
                        uncertain |= matches!(error, log::Error::Lost | log::Error::Malformed);
                        failure = error;
                    }
                }
            }
            let read = self.catch_up(environment, reader).await;
            if let Some(outcome) = read.ok().and_then(|()| reader.outcome(record.id)) {
                return Ok(outcome);
            }
            back_off(&mut backoff).await;
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
        reader: &mut Reader,
    ) -> Result<(), log::Error> {
        loop {
            let batch = self.log.read(&stream(environment), reader.next(), 0).await?;
            reader.apply(&batch);
            if batch.records.is_empty() {
                return Ok(());
            }
        }
    }
}

async fn back_off(backoff: &mut Duration) {
    sleep(*backoff).await;
    *backoff *= 2;
}

/// Fails before anything is appended if the version in force is not the `expected` one.
fn check_version(
    environment: &name::Environment,
    reader: &Reader,
    expected: Option<u64>,
) -> Result<(), Error> {
    match expected.and_then(|version| reader.conflict(version)) {
        Some(conflict) => Err(Error::Conflict { environment: environment.clone(), conflict }),
        None => Ok(()),
    }
}

fn rejection(environment: &name::Environment, record: &Record, outcome: Outcome) -> Error {
    match outcome {
        Outcome::Conflict(conflict) => {
            Error::Conflict { environment: environment.clone(), conflict }
        }
        _ => Error::Refused { id: record.id },
    }
}
