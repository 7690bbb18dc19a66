//! Restricts requests to servers and other entry hosts in their homes, and tells other hosts the region of this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::info;

use super::broadcast::Message;
use super::context::Context;
use super::request::Outgoing;
use crate::clock::boot_ms;
use crate::directory::{Entry, Server};
use crate::freshness::Purpose;
use crate::homes::{Set, announcement_interval_ms};
use crate::name;
use crate::origin::Origin;
use crate::route::{Organisation, Route};

#[cfg(test)]
mod tests;

/// Time between two checks whether an announcement is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Region of the host that sends it, as encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct HostRegion {
    region: name::Region,
}

/// What restricts the servers of a request apart from their state; by default nothing does.
#[derive(Default)]
pub(crate) struct Constraint<'a> {
    /// Where the stream began that the request continues.
    origin: Option<&'a Origin>,
    homes: Set,
}

impl<'a> Constraint<'a> {
    /// The constraint of `request` under the newest document.
    pub(crate) fn new(context: &Context, request: &Outgoing, origin: Option<&'a Origin>) -> Self {
        Self { origin, homes: in_force(context, request) }
    }

    /// Whether the server of this entry may get the request.
    pub(crate) fn allows(&self, context: &Context, entry: &Entry) -> bool {
        self.origin.is_none_or(|origin| origin.matches(entry))
            && (self.homes.is_any()
                || self.homes.allows(context.settings.regions.of(&entry.domain)))
    }
}

/// The homes of a request of `route` whose key belongs to `organisation`.
pub(crate) fn of(route: &Route, organisation: Option<&Organisation>) -> Set {
    organisation.map_or_else(
        || route.homes.clone(),
        |organisation| route.homes.intersection(&organisation.homes),
    )
}

/// The homes of `request` under the newest document. A route or key that this document no longer has counts with the
/// homes with which the request was admitted.
pub(crate) fn in_force(context: &Context, request: &Outgoing) -> Set {
    let Some(current) = context.cache.current(Purpose::Continuation, boot_ms()) else {
        return request.homes.clone();
    };
    let table = &current.table;
    let route = table.find(&request.head.host, request.target.path());
    let key = request.head.key.as_ref();
    let organisation = key.and_then(|key| table.organisation(key));
    let is_known = route.is_some() && (organisation.is_some() || request.organisation.is_none());
    let admitted = if is_known { Set::any() } else { request.homes.clone() };
    let route = route.map_or_else(Set::any, |route| route.homes.clone());
    let organisation = organisation.map_or_else(Set::any, |holder| holder.homes.clone());
    admitted.intersection(&route).intersection(&organisation)
}

/// Whether `request` may be sent to `server` under the newest document. Counts and logs if not.
pub(crate) fn allow(context: &Context, request: &Outgoing, server: &Server) -> bool {
    let allowed = Constraint::new(context, request, None).allows(context, &server.entry);
    if !allowed {
        context.instruments.count_action("outside_homes");
        info!(context.logger, "server is outside the homes of the request";
            "request" => &*request.head.id_text, "server" => server.entry.id.as_str(),
            "domain" => server.entry.domain.as_str());
    }
    allowed
}

/// Whether the body of `request` may be sent to the entry host at `address`: its region is a home or the region of this
/// host, to which the caller connected.
pub(crate) fn allow_host(context: &Context, request: &Outgoing, address: SocketAddr) -> bool {
    let homes = in_force(context, request);
    if homes.is_any() {
        return true;
    }
    let hosts = context.cache.peers(&context.settings.host).len() + 1;
    let known = context.host_regions();
    let region = known.region(address, hosts, boot_ms());
    region == Some(&context.settings.region) || homes.allows(region)
}

/// Records the region of the host that sent `announced` from `address`.
pub(crate) fn receive(context: &Context, address: SocketAddr, announced: HostRegion) {
    // Only hosts of the list are asked, so others need no memory.
    if context.cache.peers(&context.settings.host).contains(&address) {
        context.host_regions().put(address, announced.region, boot_ms());
    }
}

/// Tells the region of this host to the one at `address`, which has started. Another process may have used that address.
pub(crate) fn inform(context: &Context, address: SocketAddr) {
    context.host_regions().remove(address);
    if is_needed(context) {
        context.send(vec![address], announcement(context));
    }
}

/// Announces the region of this host to all others while the document has homes, until the task is dropped.
pub(crate) async fn run(context: Arc<Context>) {
    let mut due_ms = 0;
    loop {
        if is_needed(&context) && boot_ms() >= due_ms {
            let peers = context.cache.peers(&context.settings.host);
            due_ms = boot_ms() + announcement_interval_ms(peers.len() + 1);
            context.send(peers, announcement(&context));
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn announcement(context: &Context) -> Message {
    Message::HostRegion(HostRegion { region: context.settings.region.clone() })
}

/// Whether the document has homes.
fn is_needed(context: &Context) -> bool {
    let current = context.cache.current(Purpose::Continuation, boot_ms());
    current.is_some_and(|current| current.table.has_homes())
}
