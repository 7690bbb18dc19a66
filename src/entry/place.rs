//! Finds a place at a server for the next attempt of a request, and tells refused callers when to return.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::time::Instant;

use super::context::{Context, Reservation};
use super::error_response::Reason;
use super::job::Job;
use crate::clock::boot_ms;
use crate::freshness::Purpose;
use crate::load::{self, Choice, Goal, RETRY_SPREAD, SETTLE_TIME};
use crate::name;
use crate::route::Table;

/// Divisor of a request's objective that gives the longest wait for an engine with free capacity. The wait is short so that
/// a refused caller still has most of its time for a retry.
const CAPACITY_WAIT_DIVISOR: u32 = 8;

/// Time between two checks for free capacity: a few decoding steps.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Reserves a place for the next attempt, or returns why there is none.
pub(crate) async fn find(
    context: &Arc<Context>,
    job: &Job,
    excluded: &[name::Server],
) -> Result<Reservation, Reason> {
    let remaining = job.remaining();
    if remaining.is_zero() {
        return Err(Reason::Timeout);
    }
    let current = context.cache.current(Purpose::Dispatch, boot_ms()).ok_or(Reason::NoDocument)?;
    let search = Search { context, job, table: &current.table, excluded };
    let (choice, place) = search.run().await?;
    info!(context.logger, "server chosen"; "request" => &*job.request.head.id_text,
        "server" => choice.server.entry.id.as_str(), "build" => choice.server.build_text(),
        "occupancy" => format!("{:.2}", choice.occupancy),
        "reading_ms" => choice.prefill_ms,
        "excluded" => excluded.len(), "left_ms" => remaining.as_millis() as u64,
        "document_age_ms" => current.age_ms);
    Ok(place)
}

/// The search for a place.
struct Search<'a> {
    context: &'a Arc<Context>,
    job: &'a Job,
    table: &'a Table,
    excluded: &'a [name::Server],
}

impl Search<'_> {
    /// Chooses a server and reserves a place there, and waits briefly if no engine has free capacity.
    async fn run(&self) -> Result<(Choice, Reservation), Reason> {
        let Self { context, job, excluded, .. } = *self;
        let started = Instant::now();
        let deadline = started + job.route.objective / CAPACITY_WAIT_DIVISOR;
        loop {
            let choice = self.choose()?;
            let mut pause = CAPACITY_CHECK_INTERVAL;
            if choice.fits {
                if let Some(place) = self.confirm(&choice).await {
                    return Ok((choice, place));
                }
                context.instruments.count_action("place_withdrawn");
                pause = RETRY_SPREAD.mul_f64(rand::random());
            }
            if Instant::now() + pause > deadline {
                info!(context.logger, "no engine with free capacity"; "request" => &*job.request.head.id_text,
                    "occupancy" => format!("{:.2}", choice.occupancy), "fits" => choice.fits,
                    "reading_ms" => choice.prefill_ms, "excluded" => excluded.len(),
                    "waited_ms" => started.elapsed().as_millis() as u64);
                return Err(Reason::Full);
            }
            tokio::time::sleep(pause).await;
        }
    }

    fn choose(&self) -> Result<Choice, Reason> {
        let Self { context, job, table, excluded } = *self;
        let constraint = job.constraint(context);
        let choice = context.choose(table, &job.service, excluded, job.requirement(), &constraint);
        choice.ok_or_else(|| {
            if context.is_evacuated(&job.service, &constraint) {
                return Reason::Evacuated;
            }
            let wait = context.wait(&job.service, excluded, &constraint);
            let is_full = wait.is_some() || context.is_limited(&job.service, &constraint);
            if is_full { Reason::Full } else { Reason::NoServer }
        })
    }

    /// Reserves a place at the chosen server, which the other hosts are told of at once. At an engine, waits until the
    /// reports of hosts that chose at the same moment have arrived, and gives the place up if it does not fit any more.
    async fn confirm(&self, choice: &Choice) -> Option<Reservation> {
        let Self { context, job, table, .. } = *self;
        let requirement = job.requirement();
        let prefill_tokens = job.request.head.prompt.map_or(0, |prompt| prompt.input);
        let place = context.reserve(&choice.server, requirement.tokens, prefill_tokens);
        let shares_memory = requirement.tokens > 0 && context.cache.host_count() != Some(1);
        if !shares_memory {
            return Some(place);
        }
        tokio::time::sleep(SETTLE_TIME).await;
        context.still_fits(table, &choice.server, requirement).then_some(place)
    }
}

/// When the caller of a request that was refused for `reason` may return: when the first server takes requests again, if
/// all asked for time. If servers are full, others end soon, and it returns while its objective can still be met.
pub(crate) fn retry_after(context: &Context, job: &Job, reason: Reason) -> Duration {
    let sample = rand::random();
    let wait = context.wait(&job.service, &[], &job.constraint(context));
    let return_ms = match wait {
        Some(wait) => load::return_ms(wait.as_millis() as u64, sample),
        None if reason == Reason::Full => goal(context, job).return_ms(sample),
        None => goal(context, job).later_ms(sample),
    };
    Duration::from_millis(return_ms)
}

fn goal(context: &Context, job: &Job) -> Goal {
    let prompt_tokens = job.request.head.prompt.map_or(0, |prompt| prompt.input);
    let profile = context.tracker().profile(&job.service);
    Goal {
        objective_ms: job.route.objective.as_millis() as u64,
        elapsed_ms: boot_ms().saturating_sub(job.arrived_ms),
        service_ms: profile.prefill.time_ms(prompt_tokens),
    }
}
