//! Asks engines themselves whether they leave while the platform's store cannot tell.
//!
//! An engine that is taken away gives notice through the store. During an outage of the store nobody hears it, and all
//! generations that run there would be lost with the engine.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use super::ask;
use super::context::Context;
use crate::directory::Server;
use crate::platform::engine;

/// Time between two rounds of questions. Reports are half a second old already, and a notice comes 1.5 s ahead.
const INTERVAL: Duration = Duration::from_millis(300);

/// Time allowed for a report. A sound engine takes a few milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks the engines with generations of this host, while the store cannot be read, until the task is dropped.
pub(crate) async fn watch_engines(context: Arc<Context>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        if context.beliefs.update(|directory| directory.is_store_readable()) {
            continue;
        }
        let mut asked = JoinSet::new();
        for server in busy_engines(&context) {
            asked.spawn(ask(Arc::clone(&context), server));
        }
        while asked.join_next().await.is_some() {}
    }
}

/// Engines with generations of this host.
fn busy_engines(context: &Context) -> Vec<Arc<Server>> {
    let own = context.ledger().local().clone();
    let busy = own.iter().filter(|(_, share)| share.tokens > 0);
    busy.filter_map(|(id, _)| context.beliefs.update(|d| d.server(id).cloned())).collect()
}

async fn ask(context: Arc<Context>, server: Arc<Server>) {
    // An engine that does not answer is noticed by its generations.
    let Ok(report) = engine::report(server.entry.address, REPORT_TIMEOUT).await else { return };
    if report.leaving {
        ask::leave(&context, &server.entry.incarnation(), "engine");
    }
}
