//! The QUIC endpoint and its transport settings.

use std::sync::Arc;
use std::time::Duration;

use quinn::{ConnectionId, ConnectionIdGenerator, Endpoint, VarInt};
use rand::RngExt;

use super::identity::{Identity, ResetKey};
use super::{Error, Settings};

/// Size of the receive buffer and of the send buffer for datagrams, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;

/// Unacknowledged bytes allowed across all streams of a connection.
const CONNECTION_WINDOW_BYTES: u32 = 2 << 20;

/// Calls that a peer may have open on one connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 64;

/// Ack-eliciting packets that the receiver may leave unacknowledged.
const MAX_UNACKNOWLEDGED: u32 = 10;

/// Longest time that a receiver may delay an acknowledgement.
const MAX_ACK_DELAY: Duration = Duration::from_millis(250);

/// Round-trip time assumed until one is measured.
const INITIAL_RTT: Duration = Duration::from_millis(20);

/// Length of a connection id, in bytes.
const CID_BYTES: usize = 8;

/// Binds the peer address, with certificates derived from the fleet key.
///
/// # Errors
///
/// [`Error::Bind`] if the address cannot be bound, [`Error::Certificate`] or [`Error::Tls`] if no certificate can be
/// generated.
pub(super) fn bind(settings: &Settings) -> Result<Endpoint, Error> {
    let failed = |error| Error::Bind(settings.address, error);
    let identity = Identity::new(&settings.key, &settings.host)?;
    let transport = Arc::new(transport(settings.idle_timeout));
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(identity.server));
    server.transport_config(transport.clone()).migration(false);
    let mut client = quinn::ClientConfig::new(Arc::new(identity.client));
    client.transport_config(transport);

    let reset = Arc::new(ResetKey::new(&settings.key, &settings.host));
    let mut config = quinn::EndpointConfig::new(reset);
    config.cid_generator(|| Box::new(RandomCid));
    let socket = std::net::UdpSocket::bind(settings.address).map_err(failed)?;
    let runtime = Arc::new(quinn::TokioRuntime);
    let mut endpoint = Endpoint::new(config, Some(server), socket, runtime).map_err(failed)?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

fn transport(idle_timeout: Duration) -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    // Most packets hold one small message. Acknowledging each one would cost a packet per message.
    let mut acknowledgements = quinn::AckFrequencyConfig::default();
    acknowledgements
        .ack_eliciting_threshold(VarInt::from_u32(MAX_UNACKNOWLEDGED))
        .max_ack_delay(Some(MAX_ACK_DELAY));
    transport.ack_frequency_config(Some(acknowledgements));
    let idle_ms = u32::try_from(idle_timeout.as_millis()).unwrap_or(u32::MAX);
    transport
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS_PER_CONNECTION))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .send_window(u64::from(CONNECTION_WINDOW_BYTES))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES)
        .max_idle_timeout(Some(VarInt::from_u32(idle_ms).into()))
        .initial_rtt(INITIAL_RTT)
        .mtu_discovery_config(None);
    transport
}

/// Random connection ids. Every id counts as valid, so that packets for a connection of an earlier process get a
/// stateless reset.
struct RandomCid;

impl ConnectionIdGenerator for RandomCid {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&rand::rng().random::<[u8; CID_BYTES]>())
    }

    fn cid_len(&self) -> usize {
        CID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
