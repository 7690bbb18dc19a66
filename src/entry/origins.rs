//! Shares with the other entry hosts where resumable streams began, and finds out where a stream began that a caller
//! resumes at this host.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::info;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::broadcast::Message;
use super::context::Context;
use super::error_response::Reason;
use super::request::Head;
use crate::clock::{Clock as _, System, boot_ms};
use crate::name;
use crate::origin::{Inquiry, KEEPERS, Origin, QUERIED_HOSTS, RETENTION_MS, Sighting, Table};
use crate::route::Route;

/// Longest wait for the replies of other hosts. A datagram and its reply take a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);

/// Time after which a query is repeated, as datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(25);

/// A stream that is resumed several times cannot be older than this many times its route's timeout.
const HORIZON_TIMEOUTS: u32 = 2;

/// Largest difference between the clocks of this host and of a server, in milliseconds: clocks may jump by seconds.
const MAX_CLOCK_ERROR_MS: u64 = 5_000;

/// Origins in one message: about 1 KB.
const MAX_MESSAGE_ORIGINS: usize = 16;

/// Replies to one inquiry that may be queued: those to both queries.
const MAX_QUEUED_REPLIES: usize = 2 * QUERIED_HOSTS;

/// Origin of a stream, as encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct StreamOrigin {
    request: String,
    service: name::Service,
    build: Option<name::Build>,
    age_ms: u64,
}

impl StreamOrigin {
    fn new(request: &str, origin: &Origin, age_ms: u64) -> Self {
        let Origin { service, build } = origin.clone();
        Self { request: request.to_owned(), service, build, age_ms }
    }
}

impl From<StreamOrigin> for Origin {
    fn from(StreamOrigin { service, build, .. }: StreamOrigin) -> Self {
        Self { service, build }
    }
}

/// Query for the origin of a stream, as encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct OriginQuery {
    query: u64,
    /// Request that began the stream; empty if the caller does not say.
    request: String,
    /// Service at which the stream is resumed.
    service: name::Service,
    /// No stream of the route is older than this.
    horizon_ms: u64,
}

/// Reply to an [`OriginQuery`], as encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct OriginReply {
    query: u64,
    known: Option<StreamOrigin>,
    watched_ms: u64,
    builds: Vec<Option<name::Build>>,
}

impl From<OriginReply> for (Option<Origin>, Sighting) {
    fn from(reply: OriginReply) -> Self {
        let OriginReply { known, watched_ms, builds, .. } = reply;
        let sighting = Sighting { watched_ms, builds: builds.into_iter().collect() };
        (known.map(Origin::from), sighting)
    }
}

/// The origins that this host knows, and its open inquiries.
#[derive(Default)]
pub(crate) struct Origins {
    table: Mutex<Table>,
    /// Where the replies to this host's queries are sent, by query.
    inquiries: Mutex<HashMap<u64, mpsc::Sender<Received>>>,
}

/// A reply and the host that sent it.
type Received = (SocketAddr, OriginReply);

impl Origins {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn inquiries(&self) -> MutexGuard<'_, HashMap<u64, mpsc::Sender<Received>>> {
        self.inquiries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, request: &str) -> Option<Origin> {
        self.table().get(request, boot_ms()).cloned()
    }
}

/// Remembers that `request` began a stream at `origin`, and sends this to the keepers.
pub(crate) fn publish(context: &Context, request: &Arc<str>, origin: &Origin) {
    context.origins.table().insert(Arc::clone(request), origin.clone(), 0, boot_ms());
    let origins = vec![StreamOrigin::new(request, origin, 0)];
    context.send(context.keepers(request, KEEPERS), Message::StreamOrigins { origins });
}

/// Remembers origins that another host sent.
pub(crate) fn keep(context: &Context, origins: Vec<StreamOrigin>) {
    let now_ms = boot_ms();
    let mut table = context.origins.table();
    for origin in origins {
        table.insert(origin.request.as_str().into(), origin.clone().into(), origin.age_ms, now_ms);
    }
}

/// Forgets the streams that hosts began at server `id` before they read its new entry, if it started again under its name
/// with another build.
pub(crate) fn doubt_former(context: &Context, id: &name::Server) {
    let (server, former) = context
        .cache
        .update_directory(|directory| (directory.server(id).cloned(), directory.former_origin(id)));
    let (Some(server), Some(former)) = (server, former) else { return };
    let (now_ms, unix_ms) = (boot_ms(), System::new().read().wall_ms);
    let age_ms = unix_ms.saturating_sub(server.entry.started_ms) + MAX_CLOCK_ERROR_MS;
    info!(context.logger, "server started again with another build"; "server" => id.as_str(),
        "build" => server.build_text(), "former" => former.build.as_ref().map(name::Build::as_str));
    context.origins.table().doubt(former, now_ms.saturating_sub(age_ms), now_ms);
}

/// Sends all remembered origins to their other keepers, before this host shuts down.
pub(crate) fn hand_over(context: &Context) {
    let mut by_keeper: BTreeMap<SocketAddr, Vec<StreamOrigin>> = BTreeMap::new();
    let origins: Vec<_> = {
        let table = context.origins.table();
        let origins = table.iter(boot_ms());
        origins
            .map(|(request, origin, age_ms)| StreamOrigin::new(request, origin, age_ms))
            .collect()
    };
    for origin in origins {
        for keeper in context.keepers(&origin.request, KEEPERS) {
            by_keeper.entry(keeper).or_default().push(origin.clone());
        }
    }
    for (keeper, origins) in by_keeper {
        for origins in origins.chunks(MAX_MESSAGE_ORIGINS) {
            context.send(vec![keeper], Message::StreamOrigins { origins: origins.to_vec() });
        }
    }
}

/// The reply to another host's query.
pub(crate) fn answer(context: &Context, query: OriginQuery) -> Message {
    let OriginQuery { query, request, service, horizon_ms } = query;
    let known = context.origins.get(&request);
    let Sighting { watched_ms, builds } = context.cache.sighting(&service, horizon_ms, boot_ms());
    let known = known.map(|origin| StreamOrigin::new(&request, &origin, 0));
    let builds = builds.into_iter().collect();
    Message::OriginReply(OriginReply { query, known, watched_ms, builds })
}

/// Passes a reply to the inquiry that waits for it.
pub(crate) fn apply_reply(context: &Context, sender: SocketAddr, reply: OriginReply) {
    if let Some(inquiry) = context.origins.inquiries().get(&reply.query) {
        // A full queue holds more replies than hosts were queried.
        let _ = inquiry.try_send((sender, reply));
    }
}

/// Where the stream began that the request with this head resumes; `None` if it resumes none.
///
/// # Errors
///
/// [`Reason::UnknownOrigin`] if that is not known, or if the route no longer leads to that service.
pub(crate) async fn resolve(
    context: &Context,
    head: &Head,
    route: &Route,
) -> Result<Option<Origin>, Reason> {
    let Some(resumption) = head.resumption.as_ref().filter(|_| route.kind.is_stream()) else {
        return Ok(None);
    };
    let started = Instant::now();
    let request = resumption.request.as_deref().unwrap_or_default();
    let (origin, source) = match context.origins.get(request) {
        Some(origin) => (Some(origin), "host"),
        None => (inquire(context, request, route).await, "inquiry"),
    };
    let build = origin.as_ref().map(|origin| origin.build.as_ref().map(name::Build::as_str));
    info!(context.logger, "stream resumed by its caller"; "request" => &*head.id_text,
        "resumes" => request, "known" => origin.is_some(), "build" => build.flatten(),
        "source" => source, "ms" => started.elapsed().as_millis() as u64);
    let origin = origin.filter(|origin| route.leads_to(&origin.service));
    origin.map(Some).ok_or(Reason::UnknownOrigin)
}

/// Queries other hosts for the origin of the stream that `request` began.
async fn inquire(context: &Context, request: &str, route: &Route) -> Option<Origin> {
    // The document may have reduced the timeout since the stream began.
    let horizon_ms = RETENTION_MS.max((route.timeout * HORIZON_TIMEOUTS).as_millis() as u64);
    let service = route.choose_service(0);
    let receivers = context.keepers(request, QUERIED_HOSTS);
    let own = context.cache.sighting(service, horizon_ms, boot_ms());
    // A route to several services does not show at which of them the stream began.
    let horizon_ms = if route.leads_to_one_service() { horizon_ms } else { u64::MAX };
    let mut inquiry = Inquiry::new(receivers.len(), horizon_ms, own);
    let (sender, mut replies) = mpsc::channel(MAX_QUEUED_REPLIES);
    let open = OpenQuery::new(context, sender);
    let query = OriginQuery {
        query: open.id,
        request: request.to_owned(),
        service: service.clone(),
        horizon_ms,
    };
    let ask = || context.send(receivers.clone(), Message::OriginQuery(query.clone()));
    ask();
    let deadline = Instant::now() + REPLY_TIMEOUT;
    let mut replied = HashSet::new();
    let mut repeat_at = Some(Instant::now() + REPEAT_DELAY);
    while !inquiry.is_settled() {
        tokio::select! {
            Some((sender, reply)) = replies.recv() => {
                // A host that received both queries replies twice.
                if replied.insert(sender) {
                    let (known, sighting) = reply.into();
                    inquiry.record(known, sighting);
                }
            }
            () = tokio::time::sleep_until(repeat_at.unwrap_or(deadline)) => {
                if repeat_at.take().is_none() {
                    break;
                }
                ask();
            }
        }
    }
    inquiry.conclude(service)
}

/// Registration of a query; removed when dropped.
struct OpenQuery<'a> {
    context: &'a Context,
    id: u64,
}

impl<'a> OpenQuery<'a> {
    fn new(context: &'a Context, replies: mpsc::Sender<Received>) -> Self {
        let id = rand::random();
        context.origins.inquiries().insert(id, replies);
        Self { context, id }
    }
}

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        self.context.origins.inquiries().remove(&self.id);
    }
}
