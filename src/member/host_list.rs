//! Client for the platform's host list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use serde::Deserialize;
use tokio::time::timeout;

use super::Error;
use crate::{connect, lenient};

const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_LIST_BYTES: usize = 1 << 20;

/// HTTP address of the platform's host list.
///
/// ```
/// let address: nutmeghead::member::Address = "http://127.0.0.1:7000".parse()?;
/// assert!("7000".parse::<nutmeghead::member::Address>().is_err());
/// # Ok::<(), nutmeghead::member::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Address(http::Uri);

impl std::str::FromStr for Address {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed = || Error::Address(text.to_owned());
        let base: http::Uri = text.parse().map_err(|_| malformed())?;
        if base.scheme() != Some(&http::uri::Scheme::HTTP) || base.authority().is_none() {
            return Err(malformed());
        }
        let uri = format!("{}/hosts", text.trim_end_matches('/'));
        uri.parse().map(Self).map_err(|_| malformed())
    }
}

impl From<SocketAddr> for Address {
    fn from(address: SocketAddr) -> Self {
        let uri = http::Uri::builder()
            .scheme(http::uri::Scheme::HTTP)
            .authority(address.to_string())
            .path_and_query("/hosts");
        // Cannot fail: an IP address with a port is a valid authority.
        Self(uri.build().unwrap_or_default())
    }
}

#[derive(Deserialize)]
struct Response {
    hosts: lenient::List<Host>,
}

#[derive(Deserialize)]
struct Host {
    kind: String,
    address: SocketAddr,
    state: String,
}

/// HTTP client for the platform's host list.
#[derive(Clone, Debug)]
pub(super) struct Reader {
    address: Address,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl Reader {
    pub(super) fn new(address: Address) -> Self {
        Self { address, client: connect::single_use_builder().build_http() }
    }

    /// Fetches the peer addresses of the entry hosts listed as live.
    pub(super) async fn read(&self) -> Result<Vec<SocketAddr>, Error> {
        let body = timeout(TIMEOUT, self.fetch()).await.map_err(|_| Error::Unavailable)??;
        parse(&body)
    }

    async fn fetch(&self) -> Result<Bytes, Error> {
        let response =
            self.client.get(self.address.0.clone()).await.map_err(|_| Error::Unavailable)?;
        if !response.status().is_success() {
            return Err(Error::Unavailable);
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
        Ok(body.map_err(|_| Error::Malformed)?.to_bytes())
    }
}

/// The peer addresses of the entry hosts listed as live in a response body.
pub(super) fn parse(body: &[u8]) -> Result<Vec<SocketAddr>, Error> {
    let response: Response = lenient::parse(body).map_err(|_| Error::Malformed)?;
    let hosts = response.hosts.parsed();
    let live = hosts.filter(|host| host.kind == "entry" && host.state == "live");
    Ok(live.map(|host| host.address).collect())
}
