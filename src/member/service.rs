//! Runs the membership state machine over the connections between entry hosts.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use prometheus::Registry;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::Error;
use super::counter::Counters;
use super::host_list::{Address, Reader};
use super::message::{Message, Table};
use super::state::{Action, Event, Settings, State};
use super::view::View;
use crate::peer::{Link, Protocol, Quic};
use crate::{name, peer, wire};

/// Capacity of the event queue. Datagrams that arrive while it is full are dropped.
const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// Time between two fetches of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two updates of the counters.
const COUNTER_INTERVAL: Duration = Duration::from_secs(1);

/// Time for the last datagrams to reach the neighbours before the process may exit.
const EXIT_DELAY: Duration = Duration::from_millis(100);

/// Longest sleep between two ticks, in milliseconds.
const MAX_SLEEP_MS: u64 = 10_000;

/// A newer document and the host that has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewerDocument {
    /// Host that has the document.
    pub host: name::Host,
    /// Version of the document.
    pub version: u64,
}

/// Membership of this process. Cheap to clone.
///
/// Create it, pass it to the [`peer::Handler`] of the connections, then start it on those connections:
///
/// ```no_run
/// # use nutmeghead::{member, peer};
/// # async fn run(settings: member::Settings, quic: peer::Quic) -> Result<(), member::Error> {
/// let service = member::Service::new(settings, &prometheus::Registry::new())?;
/// service.start(quic, None);
/// assert_eq!(service.view().borrow().members().len(), 1);
/// # Ok(())
/// # }
/// ```
#[derive(Clone)]
pub struct Service(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    started: Instant,
    counters: Counters,
    events: mpsc::Sender<Event>,
    event_receiver: Mutex<Option<mpsc::Receiver<Event>>>,
    view: watch::Sender<Arc<View>>,
    neighbours: watch::Sender<Vec<name::Host>>,
    newer_document: watch::Sender<Option<NewerDocument>>,
    superseded: watch::Sender<bool>,
    quic: std::sync::OnceLock<Quic>,
}

impl Service {
    /// Creates membership with this host as the only member.
    ///
    /// # Errors
    ///
    /// [`Error::Metrics`] if `registry` already has its metrics.
    pub fn new(settings: Settings, registry: &Registry) -> Result<Self, Error> {
        let counters = Counters::new(registry)?;
        let state = State::new(settings);
        counters.set_view(&state.view());
        let (events, event_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        Ok(Self(Arc::new(Shared {
            view: watch::Sender::new(state.view()),
            state: Mutex::new(state),
            started: Instant::now(),
            counters,
            events,
            event_receiver: Mutex::new(Some(event_receiver)),
            neighbours: watch::Sender::new(Vec::new()),
            newer_document: watch::Sender::new(None),
            superseded: watch::Sender::new(false),
            quic: std::sync::OnceLock::new(),
        })))
    }

    /// Starts membership on connections whose handler passes datagrams to [`Service::handle_datagram`] and calls of
    /// [`Protocol::Membership`] to [`Service::handle`]. A second start does nothing.
    pub fn start(&self, quic: Quic, host_list: Option<Address>) {
        let event_receiver =
            self.0.event_receiver.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(event_receiver) = event_receiver else { return };
        let quic = self.0.quic.get_or_init(|| quic);
        tokio::spawn(run(self.0.clone(), quic.clone(), event_receiver));
        if let Some(address) = host_list {
            tokio::spawn(poll_host_list(self.0.clone(), Reader::new(address)));
        }
    }

    /// The current view of the members.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.0.view.subscribe()
    }

    /// The hosts that this one probes or is probed by: at most eight, mostly in other failure domains. Connections to
    /// them are open already, and messages flooded among neighbours reach all members in a few hops.
    pub fn neighbours(&self) -> watch::Receiver<Vec<name::Host>> {
        self.0.neighbours.subscribe()
    }

    /// A newer document than the version last set by [`Service::set_document_version`], and the host that has it.
    pub fn newer_document(&self) -> watch::Receiver<Option<NewerDocument>> {
        self.0.newer_document.subscribe()
    }

    /// Becomes true when another process has taken over this host's name.
    pub fn superseded(&self) -> watch::Receiver<bool> {
        self.0.superseded.subscribe()
    }

    /// Announces that this host has the document with this version.
    pub fn set_document_version(&self, version: u64) {
        self.apply(Event::DocumentVersion(version));
    }

    /// Announces that this host no longer takes new work.
    pub fn announce_leaving(&self) {
        self.apply(Event::Leaving);
    }

    /// Announces that this process exits, and ends membership.
    pub async fn announce_exit(&self) {
        self.apply(Event::Exit);
        tokio::time::sleep(EXIT_DELAY).await;
    }

    /// Queues a datagram for membership. Datagrams that are malformed or find the queue full are dropped and counted.
    pub fn handle_datagram(&self, from: name::Host, body: &[u8]) {
        let Ok(message) = wire::decode::<Message>(body) else {
            return self.0.counters.count_dropped();
        };
        if self.0.events.try_send(Event::Datagram(from, message)).is_err() {
            self.0.counters.count_dropped();
        }
    }

    /// Handles a call of [`Protocol::Membership`] and returns the response.
    ///
    /// # Errors
    ///
    /// [`peer::Error::Wire`] if `body` is malformed.
    pub fn handle(&self, from: name::Host, body: &[u8]) -> Result<Bytes, peer::Error> {
        let table: Table = wire::decode(body)?;
        self.apply(Event::Table(from, table.clone()));
        let response = self.0.state().difference(&table);
        Ok(wire::encode(&response)?)
    }

    fn apply(&self, event: Event) {
        let actions = self.0.handle(event);
        if let Some(quic) = self.0.quic.get() {
            execute(&self.0, quic, actions);
        }
        // Wakes the task, as the time of its next wake-up may have changed.
        let _ = self.0.events.try_send(Event::Tick);
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        // Never 0, which `State` uses for "no event yet".
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX).saturating_add(1)
    }

    fn handle(&self, event: Event) -> Vec<Action> {
        let mut state = self.state();
        state.handle(self.now_ms(), event)
    }

    fn time_until_wake(&self) -> Duration {
        let wake_ms = self.state().wake_ms();
        Duration::from_millis(wake_ms.saturating_sub(self.now_ms()).min(MAX_SLEEP_MS))
    }

    fn update_counters(&self, quic: &Quic) {
        let state = self.state();
        self.counters.update(state.counts(), quic.traffic());
    }
}

async fn run(shared: Arc<Shared>, quic: Quic, mut event_receiver: mpsc::Receiver<Event>) {
    let mut counter_ticks = tokio::time::interval(COUNTER_INTERVAL);
    counter_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        // Queued events are handled first, so that received acks and refutations count before their deadlines expire.
        let event = tokio::select! {
            biased;
            event = event_receiver.recv() => event.unwrap_or(Event::Tick),
            () = tokio::time::sleep(shared.time_until_wake()) => Event::Tick,
            _ = counter_ticks.tick() => {
                shared.update_counters(&quic);
                continue;
            }
        };
        let actions = shared.handle(event);
        execute(&shared, &quic, actions);
    }
}

async fn poll_host_list(shared: Arc<Shared>, reader: Reader) {
    loop {
        if let Ok(addresses) = reader.read().await {
            let _ = shared.events.send(Event::HostList(addresses)).await;
        }
        tokio::time::sleep(HOST_LIST_INTERVAL).await;
    }
}

fn execute(shared: &Arc<Shared>, quic: &Quic, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send(host, message) => send(quic, host, &message),
            Action::Exchange(host) => {
                tokio::spawn(exchange(shared.clone(), quic.clone(), host));
            }
            Action::ExchangeWithAddress(address) => {
                tokio::spawn(exchange_with_address(shared.clone(), quic.clone(), address));
            }
            Action::SetAddress(host, address) => quic.set_address(host, address),
            Action::RemoveAddress(host) => quic.remove_address(&host),
            Action::PublishView(view) => {
                shared.counters.set_view(&view);
                shared.view.send_replace(view);
            }
            Action::SetNeighbours(hosts) => {
                shared.neighbours.send_replace(hosts);
            }
            Action::NewerDocument(host, version) => {
                shared.newer_document.send_replace(Some(NewerDocument { host, version }));
            }
            Action::Superseded => {
                shared.superseded.send_replace(true);
            }
        }
    }
}

fn send(quic: &Quic, host: name::Host, message: &Message) {
    let Ok(body) = wire::encode(message) else { return };
    if quic.try_send(&host, Protocol::Membership, &body) {
        return;
    }
    let quic = quic.clone();
    tokio::spawn(async move {
        let _ = quic.send(&host, Protocol::Membership, body).await;
    });
}

async fn exchange(shared: Arc<Shared>, quic: Quic, host: name::Host) {
    let Ok(body) = wire::encode(&shared.state().table()) else { return };
    let Ok(response) = quic.call(&host, Protocol::Membership, body).await else { return };
    handle_response(&shared, host, &response).await;
}

async fn exchange_with_address(shared: Arc<Shared>, quic: Quic, address: SocketAddr) {
    let Ok(body) = wire::encode(&shared.state().table()) else { return };
    match quic.call_address(address, Protocol::Membership, body).await {
        Ok((host, response)) => handle_response(&shared, host, &response).await,
        Err(_) => {
            let _ = shared.events.send(Event::ExchangeFailed(address)).await;
        }
    }
}

async fn handle_response(shared: &Shared, host: name::Host, response: &[u8]) {
    match wire::decode::<Table>(response) {
        Ok(table) => {
            let _ = shared.events.send(Event::Table(host, table)).await;
        }
        Err(_) => shared.counters.count_dropped(),
    }
}
