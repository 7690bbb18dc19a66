//! Runs membership on the link between entry hosts.

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

/// Largest number of datagrams that wait for membership.
const MAX_WAITING: usize = 1_024;

/// Time between two reads of the host list.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two updates of the counters.
const COUNTER_INTERVAL: Duration = Duration::from_secs(1);

/// Time for a datagram to reach the neighbours before the process may exit.
const DEPART_TIME: Duration = Duration::from_millis(100);

/// Longest sleep, in milliseconds.
const MAX_SLEEP_MS: u64 = 10_000;

/// A host that has a newer document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Newer {
    /// The host.
    pub host: name::Host,
    /// The version of its document.
    pub version: u64,
}

/// Membership of this process. Cheap to clone.
///
/// Make it, give it to the handler of the link, then start it on that link:
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
    begun: Instant,
    counters: Counters,
    events: mpsc::Sender<Event>,
    inbox: Mutex<Option<mpsc::Receiver<Event>>>,
    view: watch::Sender<Arc<View>>,
    neighbours: watch::Sender<Vec<name::Host>>,
    newer: watch::Sender<Option<Newer>>,
    superseded: watch::Sender<bool>,
    quic: std::sync::OnceLock<Quic>,
}

impl Service {
    /// Makes membership with this host as the only member.
    ///
    /// # Errors
    ///
    /// [`Error::Counters`] if `registry` already has its counters.
    pub fn new(settings: Settings, registry: &Registry) -> Result<Self, Error> {
        let counters = Counters::new(registry)?;
        let state = State::new(settings);
        counters.show(&state.view());
        let (events, inbox) = mpsc::channel(MAX_WAITING);
        Ok(Self(Arc::new(Shared {
            view: watch::Sender::new(state.view()),
            state: Mutex::new(state),
            begun: Instant::now(),
            counters,
            events,
            inbox: Mutex::new(Some(inbox)),
            neighbours: watch::Sender::new(Vec::new()),
            newer: watch::Sender::new(None),
            superseded: watch::Sender::new(false),
            quic: std::sync::OnceLock::new(),
        })))
    }

    /// Starts membership on a link whose handler passes datagrams to [`Service::handle_datagram`] and calls of
    /// [`Protocol::Membership`] to [`Service::handle`]. A second start does nothing.
    pub fn start(&self, quic: Quic, host_list: Option<Address>) {
        let inbox = self.0.inbox.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(inbox) = inbox else { return };
        let quic = self.0.quic.get_or_init(|| quic);
        tokio::spawn(run(self.0.clone(), quic.clone(), inbox));
        if let Some(address) = host_list {
            tokio::spawn(poll(self.0.clone(), Reader::new(address)));
        }
    }

    /// The members, kept up to date.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.0.view.subscribe()
    }

    /// The hosts that this one probes or is probed by, at most eight and mostly of other failure domains. Connections to
    /// them are open anyway, and news passed among them reach all members in a few steps.
    pub fn neighbours(&self) -> watch::Receiver<Vec<name::Host>> {
        self.0.neighbours.subscribe()
    }

    /// A host that has a newer document than the one last set here.
    pub fn newer(&self) -> watch::Receiver<Option<Newer>> {
        self.0.newer.subscribe()
    }

    /// Becomes true when another process took over this host's name.
    pub fn superseded(&self) -> watch::Receiver<bool> {
        self.0.superseded.subscribe()
    }

    /// Tells the other hosts that this one has the document with this version.
    pub fn set_version(&self, version: u64) {
        self.apply(Event::Version(version));
    }

    /// Tells the other hosts that this one takes no new work.
    pub fn leave(&self) {
        self.apply(Event::Leave);
    }

    /// Tells the other hosts that this process exits, and ends membership.
    pub async fn depart(&self) {
        self.apply(Event::Depart);
        tokio::time::sleep(DEPART_TIME).await;
    }

    /// Takes a datagram in. Malformed ones, and those that come faster than they are read, are dropped and counted.
    pub fn handle_datagram(&self, from: name::Host, body: &[u8]) {
        let Ok(message) = wire::decode::<Message>(body) else {
            return self.0.counters.drop_message();
        };
        if self.0.events.try_send(Event::Received(from, message)).is_err() {
            self.0.counters.drop_message();
        }
    }

    /// Answers a call of [`Protocol::Membership`].
    ///
    /// # Errors
    ///
    /// [`peer::Error::Wire`] if `body` is malformed.
    pub fn handle(&self, from: name::Host, body: &[u8]) -> Result<Bytes, peer::Error> {
        let table: Table = wire::decode(body)?;
        self.apply(Event::Exchanged(from, table.clone()));
        let answer = self.0.state().difference(&table);
        Ok(wire::encode(&answer)?)
    }

    fn apply(&self, event: Event) {
        let actions = self.0.handle(event);
        if let Some(quic) = self.0.quic.get() {
            carry_out(&self.0, quic, actions);
        }
        // Wakes the task, whose next wake-up may have changed.
        let _ = self.0.events.try_send(Event::Tick);
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        // Never 0, so that the first event is not taken for the start of time.
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX).saturating_add(1)
    }

    fn handle(&self, event: Event) -> Vec<Action> {
        let mut state = self.state();
        state.handle(self.now_ms(), event)
    }

    fn until_wake(&self) -> Duration {
        let wake_ms = self.state().wake_ms();
        Duration::from_millis(wake_ms.saturating_sub(self.now_ms()).min(MAX_SLEEP_MS))
    }

    fn count(&self, quic: &Quic) {
        let state = self.state();
        self.counters.update(state.counts(), quic.traffic());
    }
}

async fn run(shared: Arc<Shared>, quic: Quic, mut inbox: mpsc::Receiver<Event>) {
    let mut counting = tokio::time::interval(COUNTER_INTERVAL);
    counting.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        // Messages that have come are taken in before time limits run out.
        let event = tokio::select! {
            biased;
            event = inbox.recv() => event.unwrap_or(Event::Tick),
            () = tokio::time::sleep(shared.until_wake()) => Event::Tick,
            _ = counting.tick() => {
                shared.count(&quic);
                continue;
            }
        };
        let actions = shared.handle(event);
        carry_out(&shared, &quic, actions);
    }
}

async fn poll(shared: Arc<Shared>, reader: Reader) {
    loop {
        if let Ok(addresses) = reader.read().await {
            let _ = shared.events.send(Event::Listed(addresses)).await;
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

fn carry_out(shared: &Arc<Shared>, quic: &Quic, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send(host, message) => send(quic, host, &message),
            Action::Exchange(host) => {
                tokio::spawn(exchange(shared.clone(), quic.clone(), host));
            }
            Action::Contact(address) => {
                tokio::spawn(contact(shared.clone(), quic.clone(), address));
            }
            Action::Address(host, address) => quic.set_address(host, address),
            Action::Forget(host) => quic.remove_address(&host),
            Action::Publish(view) => {
                shared.counters.show(&view);
                shared.view.send_replace(view);
            }
            Action::Regroup(hosts) => {
                shared.neighbours.send_replace(hosts);
            }
            Action::Newer(host, version) => {
                shared.newer.send_replace(Some(Newer { host, version }));
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
    let Ok(answer) = quic.call(&host, Protocol::Membership, body).await else { return };
    take_answer(&shared, host, &answer).await;
}

async fn contact(shared: Arc<Shared>, quic: Quic, address: SocketAddr) {
    let Ok(body) = wire::encode(&shared.state().table()) else { return };
    match quic.call_address(address, Protocol::Membership, body).await {
        Ok((host, answer)) => take_answer(&shared, host, &answer).await,
        Err(_) => {
            let _ = shared.events.send(Event::Unanswered(address)).await;
        }
    }
}

async fn take_answer(shared: &Shared, host: name::Host, answer: &[u8]) {
    match wire::decode::<Table>(answer) {
        Ok(table) => {
            let _ = shared.events.send(Event::Exchanged(host, table)).await;
        }
        Err(_) => shared.counters.drop_message(),
    }
}
