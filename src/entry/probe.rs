//! Probes engines directly for whether they are leaving, during outages of the platform's store.
//!
//! The notice that an engine leaves is published in the store. During an outage of the store, the notice does not reach
//! the entry hosts, and all generations at the engine would be lost.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use super::context::Context;
use super::freshness_query;
use crate::clock::boot_ms;
use crate::directory::Server;
use crate::platform::engine;

/// Time between two rounds of probes. Status reports are already half a second old, and the notice comes only 1.5 s
/// before the engine shuts down.
const INTERVAL: Duration = Duration::from_millis(300);

/// Time allowed for an engine's status report. A healthy engine responds within a few milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Probes the engines that run generations of this host while the store is unreachable, until the task is dropped.
pub(crate) async fn run(context: Arc<Context>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        if context.cache.update_directory(|directory| directory.is_store_readable()) {
            continue;
        }
        let mut probes = JoinSet::new();
        for server in engines_in_use(&context) {
            probes.spawn(probe(Arc::clone(&context), server));
        }
        while probes.join_next().await.is_some() {}
    }
}

/// Engines that run generations of this host and have not asked for time without requests.
fn engines_in_use(context: &Context) -> Vec<Arc<Server>> {
    let own = context.tracker().local().clone();
    let busy = own.iter().filter(|(_, load)| load.tokens > 0);
    busy.filter_map(|(id, _)| {
        context.cache.update_directory(|directory| directory.server(id).cloned())
    })
    .filter(|server| server.wait_until_ms(boot_ms()).is_none())
    .collect()
}

async fn probe(context: Arc<Context>, server: Arc<Server>) {
    // If an engine does not respond, the relays of its generations detect the failure.
    let Ok(report) = engine::report(server.entry.address, REPORT_TIMEOUT).await else { return };
    if report.leaving {
        freshness_query::report_leaving(&context, &server, "engine");
    }
}
