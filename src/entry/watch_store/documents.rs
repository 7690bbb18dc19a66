//! Reads the operators' document into the cache.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::mpsc;

use super::{Consumer, Scope, sleep_until_due_or_role_check};
use crate::clock::boot_ms;
use crate::entry::broadcast::{Message, Notice, Origin, notify_hosts};
use crate::entry::context::Context;
use crate::entry::evacuations;
use crate::evacuation::Revision;
use crate::platform::configuration::{self, Parsed};
use crate::platform::store::{self, Error, Record};

/// Long-poll timeout of a read of the document by a reader. Each response confirms that the cached document is the
/// newest, so the timeout adds to the document's age, which must stay well below the time after which a removed key
/// must not be accepted.
const DOCUMENT_POLL: Duration = Duration::from_millis(1_200);

/// Most parts of a document that are named in the log.
const MAX_LOGGED_PARTS: usize = 8;

/// Consumes the operators' document.
pub(crate) struct Documents {
    pub(crate) context: Arc<Context>,
    /// Notices to send to the other hosts immediately.
    pub(crate) notices: mpsc::Sender<Notice>,
    /// Whether the newest document cannot be read.
    is_unreadable: bool,
}

impl Documents {
    pub(crate) fn new(context: Arc<Context>, notices: mpsc::Sender<Notice>) -> Self {
        Self { context, notices, is_unreadable: false }
    }

    fn put_in_force(&self, parsed: Parsed) {
        let Parsed { table, left_out } = parsed;
        let version = table.version;
        if !self.context.cache.replace_table(table) {
            return;
        }
        self.context.instruments.document_version.set(version as i64);
        info!(self.context.logger, "document in force"; "version" => version,
            "left_out" => left_out.len());
        if !left_out.is_empty() {
            self.context.instruments.count_action("document_incomplete");
        }
        for error in left_out.iter().take(MAX_LOGGED_PARTS) {
            warn!(self.context.logger, "part of the document left out"; "version" => version,
                "error" => error.to_string());
        }
        let message = Message::DocumentVersion { version };
        notify_hosts(&self.context, &self.notices, Notice { message, origin: Origin::Store });
    }

    fn reject(&self, error: &configuration::Error) {
        self.context.instruments.count_action("document_rejected");
        warn!(self.context.logger, "document rejected; the previous one stays in force";
            "error" => error.to_string(), "expires" => self.context.settings.bounds.strict_revocation);
    }
}

impl Consumer for Documents {
    const TOPIC: &'static str = store::CONFIGURATION_TOPIC;

    /// The response to a long poll confirms the document up to the start of the poll only. A host that is not a reader
    /// does not wait, so its read confirms the document up to now.
    fn confirms_at_once(&self) -> bool {
        self.context.roster_view().turn().is_some()
    }

    fn poll_timeout(&self) -> Duration {
        match self.context.roster_view().turn() {
            Some(_) => DOCUMENT_POLL,
            // A host that is not a reader reads only what the readers' replies do not confirm, so it does not wait.
            None => Duration::ZERO,
        }
    }

    /// A reader reads again immediately. Another host reads once its document has not been confirmed for too long, or
    /// some time after another host has a newer one, so that documents accepted in quick succession are read together.
    async fn until_next_read(&self, _: Duration) -> Scope {
        let Context { cache, store_read_limits, .. } = &*self.context;
        loop {
            let due_ms = store_read_limits.document_due_ms(cache.watermark().document_ms);
            let now_ms = boot_ms();
            if now_ms >= due_ms || self.context.roster_view().turn().is_some() {
                return Scope::New;
            }
            if cache.is_document_outdated() {
                tokio::time::sleep(store_read_limits.document_delay()).await;
                return Scope::Newest;
            }
            tokio::select! {
                () = sleep_until_due_or_role_check(due_ms, now_ms) => {}
                () = cache.newer_document.notified() => {}
            }
        }
    }

    fn retry_delay(&self) -> Duration {
        self.context.store_retry_delay()
    }

    fn apply_up_to(&mut self, records: Vec<Record>, complete: bool, revision: Revision) {
        evacuations::apply_records(&self.context, &self.notices, &records, complete, revision);
        self.apply(records, complete);
    }

    /// Puts the newest document that can be read in force. The items of a complete list have no order in time, so one that can
    /// be read counts as the newest.
    fn apply(&mut self, records: Vec<Record>, complete: bool) {
        let documents = records.into_iter().rev().filter(|record| record.key == configuration::KEY);
        let mut is_rejected = false;
        for value in documents.filter_map(|record| record.value) {
            match configuration::parse(&value) {
                Ok(parsed) => {
                    self.is_unreadable = is_rejected && !complete;
                    return self.put_in_force(parsed);
                }
                Err(error) => self.reject(&error),
            }
            is_rejected = true;
        }
        self.is_unreadable |= is_rejected;
    }

    /// A newer document that cannot be read may have taken any key away, so the one before it expires.
    fn confirm(&mut self, confirmed_ms: u64) -> bool {
        if self.is_unreadable && self.context.settings.bounds.strict_revocation {
            return false;
        }
        self.context.cache.confirm_document(confirmed_ms)
    }

    fn on_store_lost(&mut self, error: Error) {
        warn!(self.context.logger, "store unreachable"; "topic" => Self::TOPIC,
            "error" => error.to_string());
    }

    fn on_records_lost(&mut self, era: u64) {
        self.context.cache.mark_records_lost(boot_ms());
        warn!(self.context.logger, "store lost records"; "topic" => Self::TOPIC, "era" => era);
    }

    fn on_store_recovered(&mut self) {
        info!(self.context.logger, "store reachable again"; "topic" => Self::TOPIC);
    }
}
