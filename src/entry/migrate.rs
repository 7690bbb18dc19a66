//! Migrates a running generation to another engine, in the steps that [`Plan`] decides. Called by `relocate` when the
//! engine of a stream gives notice that it leaves, or its failure domain is evacuated.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use slog::info;

use super::context::{Context, Reservation};
use super::homes::{self, Constraint};
use super::job::Job;
use super::relocate::{self, Cause};
use super::request::KvCache;
use super::transfers::Announcement;
use crate::clock::boot_ms;
use crate::directory::Server;
use crate::freshness::Purpose;
use crate::load::{Choice, Class, Requirement};
use crate::migration::{Failure, Link, Plan, Step, Turn};
use crate::name;
use crate::origin::Origin;
use crate::platform::engine;

/// Time allowed for an engine's status report. A healthy engine responds within a few milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between the notice that an engine leaves and the request for its status report. Reports are some hundred
/// milliseconds old, so an immediate one would not include the notice.
const REPORT_DELAY: Duration = Duration::from_millis(550);

/// Time allowed for the call that frees a copy.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// How much longer a copy to an engine in another failure domain takes.
const REMOTE_COPY_FACTOR: u32 = 2;

/// A stopped generation and the engine where it can continue.
pub(crate) struct Stopped {
    pub(crate) kv_cache: KvCache,
    /// The engine that has the copy, with capacity reserved; `None` if only the source has the KV cache.
    pub(crate) target: Option<Reservation>,
}

/// A copy of a KV cache that no generation uses yet. It occupies memory of its target, and is freed when this is
/// dropped.
struct UnusedCopy {
    source: SocketAddr,
    target: SocketAddr,
    handle: String,
}

impl Drop for UnusedCopy {
    fn drop(&mut self) {
        let (source, target) = (self.source, self.target);
        let handle = std::mem::take(&mut self.handle);
        if handle.is_empty() {
            return;
        }
        tokio::spawn(async move {
            // The source frees the copy at both engines, unless it has shut down. A copy that cannot be freed expires.
            if engine::free(source, &handle, FREE_TIMEOUT).await.is_err() {
                let _ = engine::free(target, &handle, FREE_TIMEOUT).await;
            }
        });
    }
}

/// Drops the guard without freeing the copy, for a copy that is in use or replaced under the same handle.
fn disarm(unused: &mut Option<UnusedCopy>) {
    if let Some(mut copy) = unused.take() {
        copy.handle.clear();
    }
}

/// Migrates the generation of `job`, which has `tokens` so far, away from `source`. Returns `None` if it stays there.
/// `stop_sent` is true while `source` may have received a request to stop the generation and has not denied it.
pub(crate) async fn migrate(
    context: Arc<Context>,
    job: Arc<Job>,
    source: Arc<Server>,
    tokens: u64,
    stop_sent: Arc<AtomicBool>,
    cause: Cause,
) -> Option<Stopped> {
    let id = &job.request.head.id_text;
    let noticed_ms = boot_ms();
    let current = context.cache.current(Purpose::Continuation, noticed_ms)?;
    let link = current.table.pool(&job.service)?.link;
    let is_leaving = cause == Cause::Leaving;
    let notice = context.tracker().profile(&job.service).notice;
    let mut plan =
        if is_leaving { Plan::new(notice, noticed_ms) } else { Plan::without_deadline() };
    let mut report = is_leaving.then(|| tokio::spawn(query_time_to_shutdown(Arc::clone(&source))));
    let announcement = is_leaving.then(|| Announcement::new(&context, &source, id));
    if is_leaving {
        wait_for_turn(&context, &source, id, noticed_ms).await;
    }
    let mut unused: Option<UnusedCopy> = None;
    let mut excluded = vec![source.entry.id.clone()];
    let mut target = reserve_target(&context, &job, &source, tokens, &excluded, cause)?;
    info!(context.logger, "migration started"; "request" => &**id,
        "source" => source.entry.id.as_str(), "target" => target.server.entry.id.as_str(),
        "tokens" => tokens, "waited_ms" => boot_ms().saturating_sub(noticed_ms),
        "cause" => cause.as_str());
    let announce = |target: &Server| {
        if let Some(announcement) = &announcement {
            announcement.begin(&target.entry.id, copy_time(link, tokens, &source, target));
        }
    };
    announce(&target.server);
    let mut stop = false;
    loop {
        if !is_leaving && !may_go_on(&context, &job, &source, &target.server, stop) {
            return None;
        }
        if context.evacuations.is_evacuated(&target.server.entry.domain) {
            // The generation still runs at its source, and the new target has no copy yet.
            (stop, unused) = (false, None);
            target = reserve_target(&context, &job, &source, tokens, &excluded, cause)?;
        }
        // The document may have changed since the target was chosen.
        if !homes::allow(&context, &job.request, &target.server) {
            return None;
        }
        let started_ms = boot_ms();
        let address = target.server.entry.address;
        let timeout = plan.copy_timeout();
        stop_sent.store(stop, Ordering::Relaxed);
        let copied = engine::copy(source.entry.address, id, address, stop, timeout).await;
        let now_ms = boot_ms();
        if let Some(report) = report.take_if(|report| report.is_finished()) {
            if let Ok(Some((shuts_down_in, requested_ms))) = report.await {
                plan.set_shutdown(shuts_down_in, requested_ms);
                let notice_ms = requested_ms - noticed_ms + shuts_down_in.as_millis() as u64;
                context.tracker().record_notice(&job.service, notice_ms);
            }
        }
        info!(context.logger, "KV cache copy finished"; "request" => &**id, "stop" => stop,
            "target" => target.server.entry.id.as_str(), "ms" => now_ms - started_ms,
            "outcome" => copied.as_ref().map_or_else(ToString::to_string, |_| "copied".to_owned()));
        let step = match copied {
            Ok(copied) if stop => {
                disarm(&mut unused);
                let kv_cache = KvCache { source: source.entry.address, handle: copied.handle };
                return Some(Stopped { kv_cache, target: Some(target) });
            }
            Ok(copied) => {
                // Another copy to the same target has the same handle.
                disarm(&mut unused);
                let source = source.entry.address;
                unused = Some(UnusedCopy { source, target: address, handle: copied.handle });
                plan.copy_succeeded(now_ms - started_ms, now_ms)
            }
            Err(Failure::NoRoom { handle: Some(handle) }) if stop => {
                disarm(&mut unused);
                let kv_cache = KvCache { source: source.entry.address, handle };
                return Some(Stopped { kv_cache, target: None });
            }
            Err(failure) => {
                if matches!(failure, Failure::NotRunning | Failure::Busy) {
                    stop_sent.store(false, Ordering::Relaxed);
                }
                plan.copy_failed(&failure, now_ms)
            }
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
                target = reserve_target(&context, &job, &source, tokens, &excluded, cause)?;
                announce(&target.server);
            }
            Step::Abort => return None,
        }
    }
}

/// Waits until the generations before this one are expected to have been copied over the link of `source`. Without a
/// report of the engine, the copy starts at once.
async fn wait_for_turn(context: &Context, source: &Server, id: &str, noticed_ms: u64) {
    let Ok(report) = engine::report(source.entry.address, REPORT_TIMEOUT).await else { return };
    let turn = Turn::new(source.entry.id.clone(), &report.runs, id, noticed_ms);
    let silent = context.transfers.wait(&turn).await;
    info!(context.logger, "turn of migration"; "request" => id, "source" => source.entry.id.as_str(),
        "position" => turn.position(), "generations" => report.runs.len(), "silent" => silent,
        "waited_ms" => boot_ms().saturating_sub(noticed_ms));
}

/// Duration of a copy of `tokens` over idle links.
fn copy_time(link: Link, tokens: u64, source: &Server, target: &Server) -> Duration {
    let factor = if source.entry.domain == target.entry.domain { 1 } else { REMOTE_COPY_FACTOR };
    factor * link.copy_time(tokens)
}

/// Waits until an engine's reports include its notice, then requests the time until it shuts down. Also returns the
/// time of that request, in milliseconds.
async fn query_time_to_shutdown(source: Arc<Server>) -> Option<(Duration, u64)> {
    tokio::time::sleep(REPORT_DELAY).await;
    let requested_ms = boot_ms();
    let report = engine::report(source.entry.address, REPORT_TIMEOUT).await.ok()?;
    report.shuts_down_in.map(|shuts_down_in| (shuts_down_in, requested_ms))
}

/// Whether the move of a generation out of an evacuated domain goes on, before it is stopped: the evacuation may have
/// ended, and a generation that was stopped must not continue at its source.
fn may_go_on(context: &Context, job: &Job, source: &Server, target: &Server, stop: bool) -> bool {
    let is_evacuated = context.evacuations.is_evacuated(&source.entry.domain);
    is_evacuated && (!stop || relocate::has_room(context, job, target))
}

/// Whether a generation of `tokens` can move out of an evacuated domain now.
pub(crate) fn has_evacuation_target(
    context: &Context,
    job: &Job,
    source: &Server,
    tokens: u64,
) -> bool {
    let excluded = [source.entry.id.clone()];
    choose_target(context, job, source, tokens, &excluded, Cause::Evacuation).is_some()
}

/// Chooses an engine for the generation and reserves capacity there.
fn reserve_target(
    context: &Arc<Context>,
    job: &Job,
    source: &Server,
    tokens: u64,
    excluded: &[name::Server],
    cause: Cause,
) -> Option<Reservation> {
    let choice = choose_idle_target(context, job, source, tokens, excluded, cause)
        .or_else(|| choose_target(context, job, source, tokens, excluded, cause))?;
    Some(context.reserve(&choice.server, tokens, 0))
}

/// Chooses an engine with free capacity to which no other generation is copied.
fn choose_idle_target(
    context: &Context,
    job: &Job,
    source: &Server,
    tokens: u64,
    excluded: &[name::Server],
    cause: Cause,
) -> Option<Choice> {
    let mut excluded = excluded.to_vec();
    excluded.extend(context.transfers.traffic().receivers(boot_ms()));
    let choice = choose_target(context, job, source, tokens, &excluded, cause);
    choice.filter(|choice| choice.fits)
}

/// Chooses an engine for the generation. Out of an evacuated domain, only one that would admit a new long generation.
fn choose_target(
    context: &Context,
    job: &Job,
    source: &Server,
    tokens: u64,
    excluded: &[name::Server],
    cause: Cause,
) -> Option<Choice> {
    let class = match cause {
        Cause::Leaving => Class::Migrating,
        Cause::Evacuation => Class::Long,
    };
    let current = context.cache.current(Purpose::Continuation, boot_ms())?;
    let origin = Origin::from(&source.entry);
    let choice = context.choose_migration_target(
        &current.table,
        &job.service,
        excluded,
        Requirement { tokens, class, ..job.requirement() },
        &source.entry.domain,
        &Constraint::new(context, &job.request, Some(&origin)),
    )?;
    (cause == Cause::Leaving || choice.fits).then_some(choice)
}
