//! QUIC connections between entry hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{BufMut as _, Bytes, BytesMut};
use quinn::{Endpoint, RecvStream, SendStream, VarInt};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::endpoint;
use super::identity::{FLEET_NAME, Key, peer_host};
use super::{Duty, Error, Handle, Link};
use crate::name;
use crate::wire::MAX_MESSAGE_BYTES;

/// Largest datagram that fits the smallest path that QUIC allows, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_100;

/// Bytes of the IPv4 and UDP headers of one packet.
const HEADER_BYTES: u64 = 28;
const MAX_HANDLED_CALLS: usize = 512;
const MAX_DIALS: usize = 32;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
const REFUSED: VarInt = VarInt::from_u32(1);
const REPLACED: VarInt = VarInt::from_u32(2);

/// Settings of the link between entry hosts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this host.
    pub host: name::Host,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The fleet key.
    pub key: Key,
    /// Time allowed for making a connection.
    pub connect_timeout: Duration,
    /// Time allowed for a call on an open connection.
    pub call_timeout: Duration,
    /// Time after which an unused connection closes.
    pub idle_timeout: Duration,
}

impl Settings {
    /// Settings with the usual time limits.
    ///
    /// ```
    /// use nutmeghead::{name, peer};
    /// let host = name::Host::new("e-1")?;
    /// let settings = peer::Settings::new(host, ([127, 0, 0, 1], 0).into(), peer::Key::new([7; 32]));
    /// assert_eq!(settings.call_timeout.as_secs(), 2);
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn new(host: name::Host, address: SocketAddr, key: Key) -> Self {
        Self {
            host,
            address,
            key,
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(180),
        }
    }

    /// Sets the time allowed for a call on an open connection.
    pub fn with_call_timeout(mut self, call_timeout: Duration) -> Self {
        self.call_timeout = call_timeout;
        self
    }
}

/// Bytes on the network since the start, with IPv4 and UDP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

impl Traffic {
    fn of(connection: &quinn::Connection) -> Self {
        let stats = connection.stats();
        Self {
            sent: stats.udp_tx.bytes + HEADER_BYTES * stats.udp_tx.datagrams,
            received: stats.udp_rx.bytes + HEADER_BYTES * stats.udp_rx.datagrams,
        }
    }

    fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.received += other.received;
    }
}

/// Connections to other entry hosts over QUIC with mutual TLS.
///
/// One connection per host is kept until it has been idle for a while. Cheap to clone.
#[derive(Clone)]
pub struct Quic(Arc<Shared>);

struct Shared {
    settings: Settings,
    endpoint: Endpoint,
    peers: Mutex<Peers>,
    dials: Semaphore,
    handled: Semaphore,
    /// Starts the task that serves a connection; keeps the handler's type out of [`Quic`].
    opened: tokio::sync::mpsc::UnboundedSender<(name::Host, quinn::Connection)>,
}

#[derive(Default)]
struct Peers {
    addresses: HashMap<name::Host, SocketAddr>,
    /// The connection on which calls to a host go out.
    connections: HashMap<name::Host, quinn::Connection>,
    /// All open connections by their stable id.
    open: HashMap<usize, quinn::Connection>,
    /// Held while a connection to the host is being made.
    gates: HashMap<name::Host, Arc<tokio::sync::Mutex<()>>>,
    /// Traffic of closed connections.
    closed: Traffic,
}

impl Quic {
    /// Listens on the peer address and answers calls with `handler`. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the address cannot be bound, [`Error::Certificate`] or [`Error::Tls`] if no certificate can be
    /// made.
    pub fn start<H: Handle>(settings: Settings, handler: H) -> Result<Self, Error> {
        let endpoint = endpoint::bind(&settings)?;
        let (opened, mut connections) = tokio::sync::mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            settings,
            endpoint,
            peers: Mutex::default(),
            dials: Semaphore::new(MAX_DIALS),
            handled: Semaphore::new(MAX_HANDLED_CALLS),
            opened,
        });
        let handler = Arc::new(handler);
        tokio::spawn(accept(shared.clone()));
        let serving = shared.clone();
        tokio::spawn(async move {
            while let Some((host, connection)) = connections.recv().await {
                tokio::spawn(serve(serving.clone(), handler.clone(), host, connection));
            }
        });
        Ok(Self(shared))
    }

    /// The address that the link listens on.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the socket has no address.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        let wanted = self.0.settings.address;
        self.0.endpoint.local_addr().map_err(|error| Error::Bind(wanted, error))
    }

    /// Sets the address of `host`. Calls to hosts without an address fail with [`Error::Unknown`], unless the host has
    /// itself made a connection.
    pub fn set_address(&self, host: name::Host, address: SocketAddr) {
        self.0.peers().addresses.insert(host, address);
    }

    /// Forgets the address of `host` and closes its connections, so that calls on them fail at once.
    pub fn forget(&self, host: &name::Host) {
        let mut peers = self.0.peers();
        peers.addresses.remove(host);
        peers.gates.remove(host);
        if let Some(connection) = peers.connections.remove(host) {
            connection.close(REPLACED, b"");
        }
    }

    /// Calls whichever host listens on `address`, and returns its name with the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Silent`] if nothing answers there, else as [`Link::call`].
    pub async fn call_address(
        &self,
        address: SocketAddr,
        duty: Duty,
        body: Bytes,
    ) -> Result<(name::Host, Bytes), Error> {
        let (host, connection) = self.0.dial(address).await.ok_or(Error::Silent(address))?;
        let answer = self.0.exchange(&host, &connection, duty, body).await?;
        Ok((host, answer))
    }

    /// Sends a datagram, making a connection first if there is none.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] or [`Error::Unreachable`] if there is no connection, [`Error::Refused`] if `body` has more
    /// than [`MAX_DATAGRAM_BYTES`]. A datagram sent can still be lost.
    pub async fn send(&self, host: &name::Host, duty: Duty, body: Bytes) -> Result<(), Error> {
        let body = datagram(duty, &body);
        if body.len() > MAX_DATAGRAM_BYTES {
            return Err(Error::Refused(host.clone()));
        }
        let connection = self.0.connection(host).await?;
        connection.send_datagram(body).map_err(|_| Error::Unreachable(host.clone()))
    }

    /// Sends a datagram if a connection to `host` is open, and says whether it did.
    pub fn try_send(&self, host: &name::Host, duty: Duty, body: &[u8]) -> bool {
        let Some(connection) = self.0.live(host) else { return false };
        connection.send_datagram(datagram(duty, body)).is_ok()
    }

    /// Whether a connection to `host` is open.
    pub fn is_connected(&self, host: &name::Host) -> bool {
        self.0.live(host).is_some()
    }

    /// Bytes on the network since the start.
    pub fn traffic(&self) -> Traffic {
        let peers = self.0.peers();
        let mut total = peers.closed;
        peers.open.values().for_each(|connection| total.add(Traffic::of(connection)));
        total
    }

    /// Closes all connections and waits until the other hosts have been told.
    pub async fn close(&self) {
        self.0.endpoint.close(VarInt::from_u32(0), b"");
        self.0.endpoint.wait_idle().await;
    }
}

impl Link for Quic {
    async fn call(&self, host: &name::Host, duty: Duty, body: Bytes) -> Result<Bytes, Error> {
        let connection = self.0.connection(host).await?;
        self.0.exchange(host, &connection, duty, body).await
    }

    async fn tell(&self, host: &name::Host, duty: Duty, body: Bytes) {
        if body.len() < MAX_DATAGRAM_BYTES {
            // Whoever tells something does not wait to know whether it arrived.
            let _ = self.send(host, duty, body).await;
        } else {
            let _ = self.call(host, duty, body).await;
        }
    }
}

impl Shared {
    fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn live(&self, host: &name::Host) -> Option<quinn::Connection> {
        let connection = self.peers().connections.get(host)?.clone();
        connection.close_reason().is_none().then_some(connection)
    }

    async fn connection(&self, host: &name::Host) -> Result<quinn::Connection, Error> {
        if let Some(connection) = self.live(host) {
            return Ok(connection);
        }
        let (address, gate) = self.way_to(host)?;
        let _gate = gate.lock().await;
        if let Some(connection) = self.live(host) {
            return Ok(connection);
        }
        match self.dial(address).await {
            Some((found, connection)) if found == *host => Ok(connection),
            _ => Err(Error::Unreachable(host.clone())),
        }
    }

    fn way_to(
        &self,
        host: &name::Host,
    ) -> Result<(SocketAddr, Arc<tokio::sync::Mutex<()>>), Error> {
        let mut peers = self.peers();
        let address =
            peers.addresses.get(host).copied().ok_or_else(|| Error::Unknown(host.clone()))?;
        Ok((address, peers.gates.entry(host.clone()).or_default().clone()))
    }

    async fn dial(&self, address: SocketAddr) -> Option<(name::Host, quinn::Connection)> {
        let _permit = self.dials.acquire().await.ok()?;
        let connecting = self.endpoint.connect(address, FLEET_NAME).ok()?;
        let connection = timeout(self.settings.connect_timeout, connecting).await.ok()?.ok()?;
        let host = peer_host(connection.peer_identity())?;
        self.register(host.clone(), connection.clone());
        Some((host, connection))
    }

    /// Keeps the connection and starts serving it. The newest connection to a host takes the calls.
    fn register(&self, host: name::Host, connection: quinn::Connection) {
        let mut peers = self.peers();
        peers.connections.insert(host.clone(), connection.clone());
        peers.open.insert(connection.stable_id(), connection.clone());
        drop(peers);
        let _ = self.opened.send((host, connection));
    }

    fn unregister(&self, host: &name::Host, connection: &quinn::Connection) {
        let id = connection.stable_id();
        let mut peers = self.peers();
        peers.open.remove(&id);
        peers.closed.add(Traffic::of(connection));
        if peers.connections.get(host).is_some_and(|c| c.stable_id() == id) {
            peers.connections.remove(host);
        }
    }

    /// Makes one call. Until the first byte is handed to the transport the call cannot have arrived.
    async fn exchange(
        &self,
        host: &name::Host,
        connection: &quinn::Connection,
        duty: Duty,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        if body.len() > MAX_MESSAGE_BYTES {
            return Err(crate::wire::Error::Large(body.len()).into());
        }
        let limit = tokio::time::Instant::now() + self.settings.call_timeout;
        let opened = tokio::time::timeout_at(limit, connection.open_bi()).await;
        let Ok(Ok((mut send, mut receive))) = opened else {
            return Err(Error::Unreachable(host.clone()));
        };
        let answer = tokio::time::timeout_at(limit, async {
            send.write_all(&[duty as u8]).await.ok()?;
            send.write_chunk(body).await.ok()?;
            send.finish().ok()?;
            Some(receive.read_to_end(MAX_MESSAGE_BYTES).await)
        });
        match answer.await {
            Ok(Some(Ok(answer))) => Ok(answer.into()),
            Ok(Some(Err(quinn::ReadToEndError::Read(quinn::ReadError::Reset(REFUSED))))) => {
                Err(Error::Refused(host.clone()))
            }
            _ => Err(Error::Lost(host.clone())),
        }
    }
}

async fn accept(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let Ok(Ok(connection)) = timeout(HANDSHAKE_TIMEOUT, incoming).await else { return };
            match peer_host(connection.peer_identity()) {
                Some(host) => shared.register(host, connection),
                None => connection.close(REFUSED, b""),
            }
        });
    }
}

/// A datagram: the byte of its duty, then its body.
fn datagram(duty: Duty, body: &[u8]) -> Bytes {
    let mut datagram = BytesMut::with_capacity(1 + body.len());
    datagram.put_u8(duty as u8);
    datagram.put_slice(body);
    datagram.freeze()
}

/// Takes streams and datagrams of a connection until it closes.
async fn serve<H: Handle>(
    shared: Arc<Shared>,
    handler: Arc<H>,
    host: name::Host,
    connection: quinn::Connection,
) {
    loop {
        tokio::select! {
            stream = connection.accept_bi() => {
                let Ok((send, receive)) = stream else { break };
                let (shared, handler, host) = (shared.clone(), handler.clone(), host.clone());
                tokio::spawn(async move { answer(&shared, &*handler, host, send, receive).await });
            }
            datagram = connection.read_datagram() => {
                let Ok(body) = datagram else { break };
                // One of an unknown duty comes from a newer release and is dropped.
                if let Some(Ok(duty)) = body.first().map(|byte| Duty::try_from(*byte)) {
                    handler.datagram(host.clone(), duty, body.slice(1..));
                }
            }
        }
    }
    shared.unregister(&host, &connection);
}

/// Answers one call; a call that fails gets a reset stream.
async fn answer<H: Handle>(
    shared: &Shared,
    handler: &H,
    host: name::Host,
    mut send: SendStream,
    mut receive: RecvStream,
) {
    let Ok(_permit) = shared.handled.acquire().await else { return };
    let request = timeout(REQUEST_TIMEOUT, receive.read_to_end(MAX_MESSAGE_BYTES + 1)).await;
    let answer = match request {
        Ok(Ok(bytes)) => dispatch(handler, host, bytes.into()).await,
        _ => Err(Error::Refused(host)),
    };
    let Ok(body) = answer else {
        let _ = send.reset(REFUSED);
        return;
    };
    if send.write_chunk(body).await.is_ok() {
        let _ = send.finish();
    }
}

pub(super) async fn dispatch<H: Handle>(
    handler: &H,
    host: name::Host,
    mut request: Bytes,
) -> Result<Bytes, Error> {
    if request.is_empty() {
        return Err(Error::Refused(host));
    }
    let duty = Duty::try_from(request.split_to(1)[0])?;
    let answer = handler.handle(host, duty, request).await?;
    if answer.len() > MAX_MESSAGE_BYTES {
        return Err(crate::wire::Error::Large(answer.len()).into());
    }
    Ok(answer)
}
