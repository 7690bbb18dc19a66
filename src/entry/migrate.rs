//! Moves a running generation to another engine, step by step as [`crate::migration::Plan`] says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use super::context::{Context, Place};
use super::job::Job;
use super::request::Memory;
use crate::clock::boot_ms;
use crate::directory::Server;
use crate::freshness::Purpose;
use crate::load::{Demand, Requirement};
use crate::migration::{Failure, Plan, Step};
use crate::platform::engine;

/// Time allowed for a report. A sound engine takes a few milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Reports state what was some hundred milliseconds ago, so one asked for right at the notice knows nothing of it.
const REPORT_DELAY: Duration = Duration::from_millis(550);

/// Time allowed for freeing a copy.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// A generation that was stopped, and where it can go on.
pub(crate) struct Stopped {
    pub(crate) memory: Memory,
    /// The engine that holds the copy, with room kept for it; `None` if only the old engine holds the memory.
    pub(crate) target: Option<Place>,
}

/// A copy that nobody has used yet. It takes up memory of its target until it is freed, which happens when this is
/// dropped.
struct Unused {
    source: SocketAddr,
    target: SocketAddr,
    handle: String,
}

impl Drop for Unused {
    fn drop(&mut self) {
        let (source, target) = (self.source, self.target);
        let handle = std::mem::take(&mut self.handle);
        if handle.is_empty() {
            return;
        }
        tokio::spawn(async move {
            // The source frees it at both ends, unless it has ended. A copy that cannot be freed lapses by itself.
            if engine::free(source, &handle, FREE_TIMEOUT).await.is_err() {
                let _ = engine::free(target, &handle, FREE_TIMEOUT).await;
            }
        });
    }
}

/// The copy is used, and freed by that.
fn forget(unused: &mut Option<Unused>) {
    if let Some(mut used) = unused.take() {
        used.handle.clear();
    }
}

/// Moves the generation of `job`, of `tokens` so far, away from `source`. `None` leaves it where it is.
pub(crate) async fn migrate(
    context: Arc<Context>,
    job: Arc<Job>,
    source: Arc<Server>,
    tokens: u64,
) -> Option<Stopped> {
    let id = &job.request.head.id_text;
    let mut plan = Plan::new(boot_ms());
    let mut report = Some(tokio::spawn(ask_end(Arc::clone(&source))));
    let mut unused: Option<Unused> = None;
    let mut excluded = vec![source.entry.id.clone()];
    let mut target = choose(&context, &job, &source, tokens, &excluded)?;
    info!(context.logger, "move planned"; "request" => &**id,
        "source" => source.entry.id.as_str(), "target" => target.server.entry.id.as_str(),
        "tokens" => tokens);
    let mut stop = false;
    loop {
        let asked_ms = boot_ms();
        let address = target.server.entry.address;
        let timeout = plan.copy_timeout();
        let copied = engine::copy(source.entry.address, id, address, stop, timeout).await;
        let now_ms = boot_ms();
        if let Some(asked) = report.take_if(|report| report.is_finished()) {
            if let Ok(Some((leaves_in, at_ms))) = asked.await {
                plan.set_end(leaves_in, at_ms);
            }
        }
        info!(context.logger, "copy ended"; "request" => &**id, "stop" => stop,
            "target" => target.server.entry.id.as_str(), "ms" => now_ms - asked_ms,
            "outcome" => copied.as_ref().map_or_else(ToString::to_string, |_| "copied".to_owned()));
        let step = match copied {
            Ok(copied) if stop => {
                forget(&mut unused);
                let memory = Memory { source: source.entry.address, handle: copied.handle };
                return Some(Stopped { memory, target: Some(target) });
            }
            Ok(copied) => {
                // A further copy to the same target has the same handle.
                forget(&mut unused);
                let source = source.entry.address;
                unused = Some(Unused { source, target: address, handle: copied.handle });
                plan.copy_succeeded(now_ms - asked_ms, now_ms)
            }
            Err(Failure::NoRoom { handle: Some(handle) }) if stop => {
                forget(&mut unused);
                let memory = Memory { source: source.entry.address, handle };
                return Some(Stopped { memory, target: None });
            }
            Err(failure) => plan.copy_failed(&failure, now_ms),
        };
        match step {
            Step::Stop => stop = true,
            Step::Copy { after_ms } => tokio::time::sleep(Duration::from_millis(after_ms)).await,
            Step::Retarget { after_ms } => {
                excluded.push(target.server.entry.id.clone());
                unused = None;
                if after_ms > 0 {
                    excluded.truncate(1);
                    tokio::time::sleep(Duration::from_millis(after_ms)).await;
                }
                target = choose(&context, &job, &source, tokens, &excluded)?;
            }
            Step::Abort => return None,
        }
    }
}

/// Asks an engine when it ends, once its reports cover the time of its notice.
async fn ask_end(source: Arc<Server>) -> Option<(Duration, u64)> {
    tokio::time::sleep(REPORT_DELAY).await;
    let asked_ms = boot_ms();
    let report = engine::report(source.entry.address, REPORT_TIMEOUT).await.ok()?;
    report.leaves_in.map(|leaves_in| (leaves_in, asked_ms))
}

/// An engine for the generation, with room kept for it.
fn choose(
    context: &Arc<Context>,
    job: &Job,
    source: &Server,
    tokens: u64,
    excluded: &[crate::name::Server],
) -> Option<Place> {
    let current = context.beliefs.current(Purpose::Continuation, boot_ms())?;
    let choice = context.choose_target(
        &current.table,
        &job.service,
        excluded,
        Requirement { tokens, demand: Demand::Migrating, ..job.need() },
        &source.entry.domain,
    )?;
    Some(context.occupy(&choice.server, tokens, 0))
}
