//! Links of this host to servers: records connections, and finds out when links that were cut are back.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use super::context::Context;
use crate::clock::boot_ms;
use crate::connect;
use crate::directory::{Phase, Server};
use crate::links::Change;
use crate::name;

/// Time between two checks whether a service that was not reached is reached again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Records whether a connection to `server` was established.
pub(crate) fn record(context: &Context, server: &Server, connected: bool) {
    let service = &server.entry.service;
    let change = if connected {
        context.links().record_connection(service)
    } else {
        let servers = ready_servers(context, service).len();
        context.links().record_failure(service, &server.entry.id, servers, boot_ms())
    };
    match change {
        Some(Change::Cut) => {
            context.instruments.count_action("links_cut");
            warn!(context.logger, "no server of a service is reached"; "service" => service.as_str());
        }
        Some(Change::Restored) => {
            context.instruments.count_action("links_restored");
            info!(context.logger, "servers of a service are reached again";
                "service" => service.as_str());
        }
        None => {}
    }
}

/// Tries connections to services that are not reached, until the task is dropped.
pub(crate) async fn run(context: Arc<Context>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let services = context.links().cut_services();
        for service in services {
            let servers = ready_servers(&context, &service);
            let index = (rand::random::<f64>() * servers.len() as f64) as usize;
            if let Some(server) = servers.get(index) {
                let connected = connect::is_accepted(server.entry.address, CHECK_INTERVAL).await;
                record(&context, server, connected);
            }
        }
    }
}

fn ready_servers(context: &Context, service: &name::Service) -> Vec<Arc<Server>> {
    let mut servers = context.cache.servers(service);
    servers.retain(|server| {
        server.phase() == Phase::Ready && !context.evacuations.is_evacuated(&server.entry.domain)
    });
    servers
}
