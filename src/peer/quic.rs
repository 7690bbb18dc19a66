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
use super::{Error, Handler, Link, Protocol};
use crate::name;
use crate::wire::MAX_MESSAGE_BYTES;

/// Largest datagram, in bytes. It fits the smallest path MTU that QUIC allows.
pub const MAX_DATAGRAM_BYTES: usize = 1_100;

/// Bytes of the IPv4 and UDP headers of one packet.
const HEADER_BYTES: u64 = 28;

/// Largest number of incoming calls handled at the same time, over all connections.
const MAX_HANDLED_CALLS: usize = 512;

/// Largest number of concurrent connection attempts.
const MAX_DIALS: usize = 32;

/// Timeout for reading the request of an incoming call.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for the handshake of an incoming connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Close code and reset code for a refused connection or call.
const REFUSED: VarInt = VarInt::from_u32(1);

/// Close code for a connection to a host whose address was removed.
const REMOVED: VarInt = VarInt::from_u32(2);

/// Settings of the connections between entry hosts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this host.
    pub host: name::Host,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The fleet key.
    pub key: Key,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout for a call on an open connection.
    pub call_timeout: Duration,
    /// Time after which an idle connection closes.
    pub idle_timeout: Duration,
}

impl Settings {
    /// Creates settings with the default timeouts.
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

    /// Sets the timeout for a call on an open connection.
    pub fn with_call_timeout(mut self, call_timeout: Duration) -> Self {
        self.call_timeout = call_timeout;
        self
    }
}

/// Bytes on the network since the process started, IPv4 and UDP headers included.
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
/// Calls to a host share one connection, which is kept until [`Settings::idle_timeout`]. Cheap to clone.
#[derive(Clone)]
pub struct Quic(Arc<Shared>);

struct Shared {
    settings: Settings,
    endpoint: Endpoint,
    peers: Mutex<Peers>,
    /// Limits concurrent connection attempts.
    dial_permits: Semaphore,
    /// Limits concurrent incoming calls.
    call_permits: Semaphore,
    /// Passes new connections to the task that serves them, which keeps the handler's type out of [`Quic`].
    new_connections: tokio::sync::mpsc::UnboundedSender<(name::Host, quinn::Connection)>,
}

#[derive(Default)]
struct Peers {
    addresses: HashMap<name::Host, SocketAddr>,
    /// The newest connection to each host, used for outgoing calls.
    connections: HashMap<name::Host, quinn::Connection>,
    /// All open connections, by stable id.
    open: HashMap<usize, quinn::Connection>,
    /// Held while a connection to the host is opened, so that concurrent calls open only one.
    dial_locks: HashMap<name::Host, Arc<tokio::sync::Mutex<()>>>,
    /// Traffic of closed connections.
    closed: Traffic,
}

impl Quic {
    /// Listens on the peer address and passes calls and datagrams to `handler`. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the address cannot be bound, [`Error::Certificate`] or [`Error::Tls`] if no certificate can be
    /// generated.
    pub fn start<H: Handler>(settings: Settings, handler: H) -> Result<Self, Error> {
        let endpoint = endpoint::bind(&settings)?;
        let (new_connections, mut connections) = tokio::sync::mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            settings,
            endpoint,
            peers: Mutex::default(),
            dial_permits: Semaphore::new(MAX_DIALS),
            call_permits: Semaphore::new(MAX_HANDLED_CALLS),
            new_connections,
        });
        let handler = Arc::new(handler);
        tokio::spawn(accept(shared.clone()));
        let serving_shared = shared.clone();
        tokio::spawn(async move {
            while let Some((host, connection)) = connections.recv().await {
                tokio::spawn(serve(serving_shared.clone(), handler.clone(), host, connection));
            }
        });
        Ok(Self(shared))
    }

    /// The address that this host listens on.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the socket has no address.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        let configured = self.0.settings.address;
        self.0.endpoint.local_addr().map_err(|error| Error::Bind(configured, error))
    }

    /// Sets the address of `host`. Calls to hosts without an address fail with [`Error::UnknownHost`], unless the
    /// host itself has opened a connection.
    pub fn set_address(&self, host: name::Host, address: SocketAddr) {
        self.0.peers().addresses.insert(host, address);
    }

    /// Removes the address of `host` and closes its newest connection, so that calls in flight fail at once.
    pub fn remove_address(&self, host: &name::Host) {
        let mut peers = self.0.peers();
        peers.addresses.remove(host);
        peers.dial_locks.remove(host);
        if let Some(connection) = peers.connections.remove(host) {
            connection.close(REMOVED, b"");
        }
    }

    /// Calls whichever host listens on `address`, and returns its name with the response.
    ///
    /// # Errors
    ///
    /// [`Error::UnreachableAddress`] if no host can be reached there, else as [`Link::call`].
    pub async fn call_address(
        &self,
        address: SocketAddr,
        protocol: Protocol,
        body: Bytes,
    ) -> Result<(name::Host, Bytes), Error> {
        let (host, connection) =
            self.0.dial(address).await.ok_or(Error::UnreachableAddress(address))?;
        let response = self.0.exchange(&host, &connection, protocol, body).await?;
        Ok((host, response))
    }

    /// Sends a datagram, opening a connection first if there is none.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownHost`] or [`Error::Unreachable`] if there is no connection, [`Error::Refused`] if `body` has more
    /// than [`MAX_DATAGRAM_BYTES`]. A datagram sent can still be lost.
    pub async fn send(
        &self,
        host: &name::Host,
        protocol: Protocol,
        body: Bytes,
    ) -> Result<(), Error> {
        let body = datagram(protocol, &body);
        if body.len() > MAX_DATAGRAM_BYTES {
            return Err(Error::Refused(host.clone()));
        }
        let connection = self.0.connection(host).await?;
        connection.send_datagram(body).map_err(|_| Error::Unreachable(host.clone()))
    }

    /// Sends a datagram if a connection to `host` is open, and returns whether it was sent.
    pub fn try_send(&self, host: &name::Host, protocol: Protocol, body: &[u8]) -> bool {
        let Some(connection) = self.0.live_connection(host) else { return false };
        connection.send_datagram(datagram(protocol, body)).is_ok()
    }

    /// Whether a connection to `host` is open.
    pub fn is_connected(&self, host: &name::Host) -> bool {
        self.0.live_connection(host).is_some()
    }

    /// Bytes on the network since the process started.
    pub fn traffic(&self) -> Traffic {
        let peers = self.0.peers();
        let mut total = peers.closed;
        peers.open.values().for_each(|connection| total.add(Traffic::of(connection)));
        total
    }

    /// Closes all connections and waits until the closes have been sent.
    pub async fn close(&self) {
        self.0.endpoint.close(VarInt::from_u32(0), b"");
        self.0.endpoint.wait_idle().await;
    }
}

impl Link for Quic {
    async fn call(
        &self,
        host: &name::Host,
        protocol: Protocol,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let connection = self.0.connection(host).await?;
        self.0.exchange(host, &connection, protocol, body).await
    }

    async fn notify(&self, host: &name::Host, protocol: Protocol, body: Bytes) {
        if body.len() < MAX_DATAGRAM_BYTES {
            // Delivery of one-way messages is not guaranteed.
            let _ = self.send(host, protocol, body).await;
        } else {
            let _ = self.call(host, protocol, body).await;
        }
    }
}

impl Shared {
    fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn live_connection(&self, host: &name::Host) -> Option<quinn::Connection> {
        let connection = self.peers().connections.get(host)?.clone();
        connection.close_reason().is_none().then_some(connection)
    }

    async fn connection(&self, host: &name::Host) -> Result<quinn::Connection, Error> {
        if let Some(connection) = self.live_connection(host) {
            return Ok(connection);
        }
        let (address, dial_lock) = self.dial_target(host)?;
        let _guard = dial_lock.lock().await;
        if let Some(connection) = self.live_connection(host) {
            return Ok(connection);
        }
        match self.dial(address).await {
            Some((actual, connection)) if actual == *host => Ok(connection),
            _ => Err(Error::Unreachable(host.clone())),
        }
    }

    fn dial_target(
        &self,
        host: &name::Host,
    ) -> Result<(SocketAddr, Arc<tokio::sync::Mutex<()>>), Error> {
        let mut peers = self.peers();
        let address =
            peers.addresses.get(host).copied().ok_or_else(|| Error::UnknownHost(host.clone()))?;
        Ok((address, peers.dial_locks.entry(host.clone()).or_default().clone()))
    }

    async fn dial(&self, address: SocketAddr) -> Option<(name::Host, quinn::Connection)> {
        let _permit = self.dial_permits.acquire().await.ok()?;
        let connecting = self.endpoint.connect(address, FLEET_NAME).ok()?;
        let connection = timeout(self.settings.connect_timeout, connecting).await.ok()?.ok()?;
        let host = peer_host(connection.peer_identity())?;
        self.register(host.clone(), connection.clone());
        Some((host, connection))
    }

    /// Stores the connection and has it served. Calls to the host use the newest connection.
    fn register(&self, host: name::Host, connection: quinn::Connection) {
        let mut peers = self.peers();
        peers.connections.insert(host.clone(), connection.clone());
        peers.open.insert(connection.stable_id(), connection.clone());
        drop(peers);
        let _ = self.new_connections.send((host, connection));
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

    /// Makes one call. The call cannot have arrived if its stream could not be opened.
    async fn exchange(
        &self,
        host: &name::Host,
        connection: &quinn::Connection,
        protocol: Protocol,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        if body.len() > MAX_MESSAGE_BYTES {
            return Err(crate::wire::Error::Large(body.len()).into());
        }
        let deadline = tokio::time::Instant::now() + self.settings.call_timeout;
        let stream = tokio::time::timeout_at(deadline, connection.open_bi()).await;
        let Ok(Ok((mut send, mut receive))) = stream else {
            return Err(Error::Unreachable(host.clone()));
        };
        let response = tokio::time::timeout_at(deadline, async {
            send.write_all(&[protocol as u8]).await.ok()?;
            send.write_chunk(body).await.ok()?;
            send.finish().ok()?;
            Some(receive.read_to_end(MAX_MESSAGE_BYTES).await)
        });
        match response.await {
            Ok(Some(Ok(response))) => Ok(response.into()),
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

/// Encodes a datagram: the protocol byte, then the body.
fn datagram(protocol: Protocol, body: &[u8]) -> Bytes {
    let mut datagram = BytesMut::with_capacity(1 + body.len());
    datagram.put_u8(protocol as u8);
    datagram.put_slice(body);
    datagram.freeze()
}

/// Accepts streams and datagrams on a connection until it closes.
async fn serve<H: Handler>(
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
                tokio::spawn(async move { respond(&shared, &*handler, host, send, receive).await });
            }
            datagram = connection.read_datagram() => {
                let Ok(body) = datagram else { break };
                // An unknown protocol belongs to a newer release; its datagrams are dropped.
                if let Some(Ok(protocol)) = body.first().map(|byte| Protocol::try_from(*byte)) {
                    handler.handle_datagram(host.clone(), protocol, body.slice(1..));
                }
            }
        }
    }
    shared.unregister(&host, &connection);
}

/// Handles one call. If it fails, the stream is reset.
async fn respond<H: Handler>(
    shared: &Shared,
    handler: &H,
    host: name::Host,
    mut send: SendStream,
    mut receive: RecvStream,
) {
    let Ok(_permit) = shared.call_permits.acquire().await else { return };
    let request = timeout(REQUEST_TIMEOUT, receive.read_to_end(MAX_MESSAGE_BYTES + 1)).await;
    let response = match request {
        Ok(Ok(bytes)) => dispatch(handler, host, bytes.into()).await,
        _ => Err(Error::Refused(host)),
    };
    let Ok(body) = response else {
        let _ = send.reset(REFUSED);
        return;
    };
    if send.write_chunk(body).await.is_ok() {
        let _ = send.finish();
    }
}

pub(super) async fn dispatch<H: Handler>(
    handler: &H,
    host: name::Host,
    mut request: Bytes,
) -> Result<Bytes, Error> {
    if request.is_empty() {
        return Err(Error::Refused(host));
    }
    let protocol = Protocol::try_from(request.split_to(1)[0])?;
    let response = handler.handle(host, protocol, request).await?;
    if response.len() > MAX_MESSAGE_BYTES {
        return Err(crate::wire::Error::Large(response.len()).into());
    }
    Ok(response)
}
