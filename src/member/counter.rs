//! Metrics of membership.

use prometheus::{IntCounter, IntGauge, Registry};

use super::Status;
use super::state::Counts;
use super::view::View;
use crate::peer;

/// Metrics of membership and of the traffic between entry hosts.
#[derive(Clone, Debug)]
pub(super) struct Counters {
    sent: IntCounter,
    received: IntCounter,
    probes: IntCounter,
    suspicions: IntCounter,
    refutations: IntCounter,
    deaths: IntCounter,
    exchanges: IntCounter,
    lags: IntCounter,
    dropped: IntCounter,
    members: IntGauge,
    alive: IntGauge,
}

impl Counters {
    pub(super) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(format!("nutmeghead_{name}_total"), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let members = IntGauge::new("nutmeghead_members", "Members in the view")?;
        registry.register(Box::new(members.clone()))?;
        let alive = IntGauge::new("nutmeghead_members_alive", "Members that take new work")?;
        registry.register(Box::new(alive.clone()))?;
        Ok(Self {
            sent: counter("peer_sent_bytes", "Bytes sent to entry hosts, headers included")?,
            received: counter("peer_received_bytes", "Bytes received from entry hosts")?,
            probes: counter("member_probes", "Pings of watched entry hosts")?,
            suspicions: counter("member_suspicions", "Suspicions raised by this host")?,
            refutations: counter("member_refutations", "False suspicions of this host")?,
            deaths: counter("member_deaths", "Members that this host declared dead")?,
            exchanges: counter("member_exchanges", "Exchanges of tables that were begun")?,
            lags: counter("member_lags", "Times that this process did not run for a while")?,
            dropped: counter("member_dropped", "Messages dropped as malformed or too many")?,
            members,
            alive,
        })
    }

    pub(super) fn count_dropped(&self) {
        self.dropped.inc();
    }

    /// Sets the gauges from a new view.
    pub(super) fn set_view(&self, view: &View) {
        let alive = view.members().iter().filter(|member| member.status == Status::Alive);
        self.alive.set(i64::try_from(alive.count()).unwrap_or(i64::MAX));
        self.members.set(i64::try_from(view.members().len()).unwrap_or(i64::MAX));
    }

    /// Raises the counters to these totals.
    pub(super) fn update(&self, counts: Counts, traffic: peer::Traffic) {
        let pairs = [
            (&self.sent, traffic.sent),
            (&self.received, traffic.received),
            (&self.probes, counts.probes),
            (&self.suspicions, counts.suspicions),
            (&self.refutations, counts.refutations),
            (&self.deaths, counts.deaths),
            (&self.exchanges, counts.exchanges),
            (&self.lags, counts.lags),
        ];
        for (counter, value) in pairs {
            counter.inc_by(value.saturating_sub(counter.get()));
        }
    }
}
