//! Background tasks of a node.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::components::{Claims, Documents, Orders};
use crate::document::Active;
use crate::lifecycle::{Control, Event};
use crate::metrics::Instruments;
use crate::{member, name, order};

/// Interval between maintenance runs of claims and of the stream of orders.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(20);

/// Interval between runs that reconcile engines with the document.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(5);

/// Notifies `documents` of hosts that have a newer document.
pub(super) async fn forward_newer_documents(members: member::Service, documents: Documents) {
    let mut newer = members.newer_document();
    while newer.changed().await.is_ok() {
        let document = newer.borrow_and_update().clone();
        if let Some(document) = document {
            documents.observe_version(&document.host, document.version);
        }
    }
}

/// Marks the node as configured when its first document is in force, and publishes the version in force to other hosts
/// and as a metric.
pub(super) async fn publish_document_version(
    control: Arc<Control>,
    members: member::Service,
    mut active: watch::Receiver<Option<Arc<Active>>>,
    instruments: Instruments,
) {
    loop {
        let version = active.borrow_and_update().as_ref().map(|active| active.version());
        if let Some(version) = version {
            instruments.document_version.set(version as i64);
            members.set_document_version(version);
            control.apply(Event::Configured);
        }
        if active.changed().await.is_err() {
            return;
        }
    }
}

/// Maintains claims, and applies the claim window of the document in force.
pub(super) async fn maintain_claims(claims: Claims, active: watch::Receiver<Option<Arc<Active>>>) {
    let mut ticks = tokio::time::interval(MAINTENANCE_INTERVAL);
    loop {
        ticks.tick().await;
        let window_s = active.borrow().as_ref().map(|a| a.document().limits.claim_window_s);
        if let Some(window_s) = window_s {
            claims.set_key_window_ms(window_s.saturating_mul(1_000));
        }
        claims.maintain().await;
    }
}

/// Reconciles engines with the document in force, periodically and when it changes, and maintains the stream of orders.
pub(super) async fn reconcile_orders(
    orders: Orders,
    environment: name::Environment,
    mut active: watch::Receiver<Option<Arc<Active>>>,
) {
    let mut reconcile = tokio::time::interval(RECONCILE_INTERVAL);
    let mut maintenance = tokio::time::interval(MAINTENANCE_INTERVAL);
    loop {
        let maintenance_due = tokio::select! {
            _ = reconcile.tick() => false,
            changed = active.changed() => {
                if changed.is_err() {
                    return;
                }
                false
            }
            _ = maintenance.tick() => true,
        };
        let Some(current) = active.borrow_and_update().clone() else { continue };
        let desired = desired(&environment, &current);
        if maintenance_due {
            orders.maintain(&desired).await;
        } else {
            orders.reconcile(&desired).await;
        }
    }
}

/// The desired state of engines according to the document in force.
pub(super) fn desired(environment: &name::Environment, active: &Active) -> order::Desired {
    order::Desired {
        environment: environment.clone(),
        version: active.version(),
        document: Arc::new(active.document().clone()),
    }
}
