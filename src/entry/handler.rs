//! Handles requests of callers: authorises and admits them, then starts the attempts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, Uri, Version};
use hyper::body::Incoming;
use slog::{info, warn};

use super::attempt;
use super::body::Body;
use super::context::Context;
use super::crash;
use super::error_response::{Reason, error_response};
use super::homes;
use super::job::Job;
use super::memory::Connection;
use super::origins;
use super::receive::receive;
use super::request::{Head, Outgoing};
use crate::api::listener::{self, Responder, Timeouts};
use crate::clock::boot_ms;
use crate::freshness::Purpose;
use crate::lifecycle::{Phase, Work};
use crate::name;
use crate::platform::headers;
use crate::quarantine::Verdict;
use crate::route::{Organisation, Route, Table};

/// `Retry-After` if another host may accept the request: the load balancer routes the retry to another host.
const OTHER_HOST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Shortest `Retry-After` if the request crashes servers and another host may be about to try it.
const MIN_QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` if the document states the route in a way that cannot be used: its operator has to correct it first.
const UNUSABLE_ROUTE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Timeouts of callers' connections until a document states them.
const INITIAL_TIMEOUTS: Timeouts =
    Timeouts { idle: Duration::from_secs(15), head: Duration::from_secs(15) };

/// Urgency value of the least urgent requests that engines accept; lower values are more urgent.
const LEAST_URGENT: u8 = 9;

/// Urgency value of requests of priority 0. Engines treat requests without a value as 5.
const BASE_URGENCY: u8 = 4;

/// Handles requests of callers, or those that other hosts forward. Cheap to clone.
#[derive(Clone)]
pub(crate) struct Handler {
    context: Arc<Context>,
    /// Whether requests come from other hosts. They are not forwarded once more.
    from_hosts: bool,
    connection: Arc<Connection>,
}

impl Responder for Handler {
    type Body = Body;

    fn connected(&self) -> Self {
        Self { connection: Arc::default(), ..self.clone() }
    }

    fn cut(&self) -> impl Future<Output = ()> + Send + 'static {
        let connection = Arc::clone(&self.connection);
        async move { connection.wait_cut().await }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let arrived_ms = boot_ms();
        let (parts, body) = request.into_parts();
        let head = match self.parse(&parts) {
            Ok(head) => head,
            Err(response) => return *response,
        };
        let response = match self.admit(parts, head.clone(), body, arrived_ms).await {
            Ok(job) => attempt::run(&self.context, job).await,
            Err(refusal) => self.refuse(&head, refusal),
        };
        self.complete(response)
    }

    async fn decline(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        listener::discard(body);
        match self.parse(&parts) {
            Ok(head) => {
                let refusal = Refusal::retry_at_other_host(Reason::Connections);
                self.complete(self.refuse(&head, refusal))
            }
            Err(response) => *response,
        }
    }

    fn timeouts(&self) -> Timeouts {
        let current = self.context.cache.current(Purpose::Continuation, boot_ms());
        current.map_or(INITIAL_TIMEOUTS, |current| Timeouts {
            idle: current.table.limits.idle_timeout,
            head: current.table.limits.head_timeout,
        })
    }
}

/// Why a request is not admitted, and when its caller may retry.
struct Refusal {
    reason: Reason,
    retry_after: Option<Duration>,
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self { reason, retry_after: None }
    }
}

impl Refusal {
    /// A refusal of a request that was not run and may be retried at another host.
    fn retry_at_other_host(reason: Reason) -> Self {
        Self { reason, retry_after: Some(OTHER_HOST_RETRY_AFTER) }
    }
}

impl Handler {
    /// The fields of a request's head, or the response to a malformed one.
    fn parse(&self, parts: &Parts) -> Result<Head, Box<Response<Body>>> {
        Head::try_from(parts).map_err(|error| {
            warn!(self.context.logger, "request malformed"; "error" => error.to_string());
            self.context.instruments.count_request("", "", Reason::Malformed.as_str());
            Box::new(error_response(Reason::Malformed, None, None))
        })
    }

    /// Adds to `response` what other hosts and callers whose connection is about to be closed are told.
    fn complete(&self, mut response: Response<Body>) -> Response<Body> {
        let reason = response.extensions().get::<Reason>().copied();
        let declined = reason.filter(|reason| self.from_hosts && reason.concerns_this_host());
        if let Some(reason) = declined {
            headers::set_declined(response.headers_mut(), reason.as_str());
        }
        if self.context.control.phase().is_stopping() {
            listener::request_close(&mut response);
        }
        response
    }
}

impl Handler {
    /// Handles requests of callers.
    pub(crate) fn new(context: Arc<Context>) -> Self {
        Self { context, from_hosts: false, connection: Arc::default() }
    }

    /// Handles requests that other hosts forward.
    pub(crate) fn for_hosts(context: Arc<Context>) -> Self {
        Self { context, from_hosts: true, connection: Arc::default() }
    }

    async fn admit(
        &self,
        parts: Parts,
        head: Head,
        body: Incoming,
        arrived_ms: u64,
    ) -> Result<Job, Refusal> {
        let work = self.begin()?;
        if parts.version >= Version::HTTP_2 {
            self.connection.set_shared();
        }
        let (route, _) = self.authorise(&parts, &head)?;
        if route.kind.is_stream() && parts.version < Version::HTTP_11 {
            return Err(Reason::Version.into());
        }
        let limit = self.table()?.0.limits.body_bytes;
        let body = self.receive(body, limit).await?;
        // The key may have been removed while the body was read.
        let (route, organisation) = match self.authorise(&parts, &head) {
            Ok(authorised) => authorised,
            Err(refusal) if refusal.reason == Reason::NoRoute => (route, None),
            Err(refusal) => return Err(refusal),
        };
        let timeout = head.caller_timeout.map_or(route.timeout, |caller| caller.min(route.timeout));
        self.check_stop(&route, arrived_ms, timeout)?;
        let target: Uri =
            parts.uri.path_and_query().cloned().map_or_else(Default::default, Into::into);
        let homes = homes::of(&route, organisation.as_deref());
        let caller = organisation.as_ref().map(|organisation| &organisation.name);
        let content = head.content(caller, &parts.method, &target.to_string(), &body);
        let is_trial = self.check_content(&head, &content)?;
        let origin = origins::resolve(&self.context, &head, &route).await;
        let origin = origin.map_err(Refusal::retry_at_other_host)?;
        let service = match &origin {
            Some(origin) => origin.service.clone(),
            None => route.choose_service(rand::random()).clone(),
        };
        self.check_size(&head, &service)?;
        let document_age_ms = self.table()?.1;
        let request = Outgoing {
            content,
            urgency: urgency(organisation.as_deref()),
            method: parts.method,
            target,
            headers: headers::forwarded(&parts.headers),
            body,
            organisation: organisation.map(|organisation| organisation.name.clone()),
            head,
            is_trial,
            homes,
        };
        Ok(Job {
            request,
            route,
            service,
            origin,
            arrived_ms,
            timeout,
            document_age_ms,
            from_host: self.from_hosts,
            connection: Arc::clone(&self.connection),
            work,
        })
    }

    /// Receives the body of a request; refuses it if the memory for requests is used up.
    async fn receive(&self, body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
        let Context { memory, instruments, logger, .. } = &*self.context;
        let received = receive(body, limit, memory, &self.connection).await;
        if received == Err(Reason::Memory) && memory.mark_full() {
            instruments.count_action("memory_full");
            warn!(logger, "memory for requests is used up"; "held_bytes" => memory.held());
        } else if received.is_ok() && memory.mark_room() {
            info!(logger, "memory for requests is free again"; "held_bytes" => memory.held());
        }
        received.map_err(|reason| match reason {
            Reason::Memory => Refusal::retry_at_other_host(reason),
            _ => reason.into(),
        })
    }

    /// Refuses a prompt that no engine of the service can hold, even if it is empty.
    fn check_size(&self, head: &Head, service: &name::Service) -> Result<(), Refusal> {
        let pool = self.table()?.0.pool(service);
        let tokens = head.prompt.map_or(0, |prompt| prompt.reserved_tokens());
        match pool {
            Some(pool) if tokens > pool.memory_tokens => Err(Reason::PromptTooLarge.into()),
            _ => Ok(()),
        }
    }

    /// Refuses a request with content that crashes servers. Returns whether the request is the trial of one.
    fn check_content(&self, head: &Head, content: &[name::Part]) -> Result<bool, Refusal> {
        match crash::admit(&self.context, head, content) {
            Verdict::Allowed => Ok(false),
            Verdict::Trial => Ok(true),
            Verdict::Refused { wait_ms } => {
                let retry_after = Duration::from_millis(wait_ms).max(MIN_QUARANTINE_RETRY_AFTER);
                Err(Refusal { reason: Reason::Quarantined, retry_after: Some(retry_after) })
            }
        }
    }

    /// Counts the request as open; refuses it while the host is starting or draining.
    fn begin(&self) -> Result<Work, Refusal> {
        let reason = match self.context.control.phase() {
            Phase::Starting => Reason::NoDocument,
            _ => Reason::Stopping,
        };
        self.context.control.begin().ok_or(Refusal::retry_at_other_host(reason))
    }

    /// Refuses a request that may not end before the host does, once its body has arrived: all requests while the host is
    /// draining, and those that may run once only if they may take longer.
    fn check_stop(&self, route: &Route, arrived_ms: u64, timeout: Duration) -> Result<(), Refusal> {
        let control = &self.context.control;
        let Some(end_ms) = control.end_ms() else { return Ok(()) };
        let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let may_outlast = route.generates || arrived_ms.saturating_add(timeout_ms) > end_ms;
        if !control.phase().accepts_work() || (may_outlast && !route.kind.may_repeat()) {
            return Err(Refusal::retry_at_other_host(Reason::Stopping));
        }
        Ok(())
    }

    /// The routes and keys of the cached document, and the document's age in milliseconds.
    fn table(&self) -> Result<(Arc<Table>, u64), Refusal> {
        let current = self.context.cache.current(Purpose::Dispatch, boot_ms());
        let current = current.ok_or(Refusal::retry_at_other_host(Reason::NoDocument))?;
        Ok((current.table, current.age_ms))
    }

    /// The route of a request and the organisation that its key belongs to; `None` on a public route.
    fn authorise(
        &self,
        parts: &Parts,
        head: &Head,
    ) -> Result<(Arc<Route>, Option<Arc<Organisation>>), Refusal> {
        let (table, _) = self.table()?;
        let Some(route) = table.find(&head.host, parts.uri.path()) else {
            if table.is_unusable(&head.host, parts.uri.path()) {
                let retry_after = Some(UNUSABLE_ROUTE_RETRY_AFTER);
                return Err(Refusal { reason: Reason::UnusableRoute, retry_after });
            }
            return Err(self.deny(Reason::NoRoute));
        };
        if route.public {
            return Ok((Arc::clone(route), None));
        }
        let organisation = head.key.as_deref().and_then(|key| table.organisation(key));
        let organisation = organisation.ok_or_else(|| self.deny(Reason::NoKey))?;
        Ok((Arc::clone(route), Some(Arc::clone(organisation))))
    }

    /// The refusal of a request without a matching route or a known key. If the cached document is not fresh, a newer
    /// one may have added the route or key, so the caller may retry at another host.
    fn deny(&self, reason: Reason) -> Refusal {
        match self.context.cache.current(Purpose::Denial, boot_ms()) {
            Some(_) => reason.into(),
            None => Refusal::retry_at_other_host(Reason::NoDocument),
        }
    }

    /// Counts and logs a refused request, and returns its response.
    fn refuse(&self, head: &Head, refusal: Refusal) -> Response<Body> {
        let Refusal { reason, retry_after } = refusal;
        let age_ms =
            self.context.cache.current(Purpose::Dispatch, boot_ms()).map(|current| current.age_ms);
        info!(self.context.logger, "request refused"; "request" => &*head.id_text,
            "reason" => reason.as_str(), "parts" => head.parts_text(), "document_age_ms" => age_ms);
        self.context.instruments.count_request("", "", reason.as_str());
        error_response(reason, Some(head), retry_after)
    }
}

/// The urgency sent to engines. It depends on the organisation's priority only; the route's is not used.
fn urgency(organisation: Option<&Organisation>) -> u8 {
    let priority = organisation.and_then(|organisation| organisation.priority).unwrap_or(0);
    (BASE_URGENCY + priority.min(2)).min(LEAST_URGENT)
}

/// Counts and logs the end of an admitted request.
pub(crate) fn finish(
    context: &Context,
    job: &Job,
    outcome: &str,
    server: Option<&name::Server>,
    tries: u32,
) {
    let elapsed_ms = boot_ms().saturating_sub(job.arrived_ms);
    context.instruments.count_request(job.organisation(), &job.route.name, outcome);
    if !job.route.kind.is_stream() {
        let labels = [job.organisation(), &*job.route.name];
        let call = context.instruments.call.with_label_values(&labels);
        call.observe(elapsed_ms as f64 / 1_000.0);
    }
    info!(context.logger, "request finished"; "request" => &*job.request.head.id_text,
        "route" => &*job.route.name, "outcome" => outcome, "tries" => tries,
        "server" => server.map(name::Server::as_str), "ms" => elapsed_ms,
        "stream" => job.route.kind.is_stream(), "objective_ms" => job.route.objective.as_millis() as u64,
        "document_age_ms" => job.document_age_ms);
}
