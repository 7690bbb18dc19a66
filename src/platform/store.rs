//! HTTP client for the keyed topics of the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf as _, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use tokio::sync::watch;

use super::headers;
use crate::connect;

mod listing;

use listing::Listing;

/// Topic of the operator's configuration document.
pub(crate) const CONFIGURATION_TOPIC: &str = "keyed.op";

/// Topic of registry entries of engines and backend servers.
pub(crate) const REGISTRY_TOPIC: &str = "keyed.servers";

/// Topic of the peer addresses of entry hosts.
pub(crate) const HOSTS_TOPIC: &str = "keyed.hosts";

/// States how often the store has come back from an older copy.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// The keyed topics used here have a single partition.
const PARTITION: u32 = 0;

/// Timeout of a call, in addition to its long-poll wait. The store takes 4 ms normally and 240 ms when slow.
/// Servers announce their shutdown 1.5 s ahead, so an unresponsive store has to be detected well before that.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time that an append waits behind others to the same partition, when all hosts start together. The store
/// rejects appends that would wait longer.
pub(crate) const MAX_APPEND_QUEUE: Duration = Duration::from_secs(2);

/// Maximum size of a response, and of all pages of a listing, in bytes. A page has at most 1 MiB of base64-encoded values.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Size of the two offsets that precede the records in a read response, in bytes.
const READ_HEADER_BYTES: usize = 16;

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// The store rejected the call; it had no effect.
    #[error("the store rejected the call with status {0}")]
    Refused(u16),
    /// The requested records were removed by compaction.
    #[error("the requested records were compacted")]
    Compacted,
    /// The response is of an earlier era than another one: it came late, or the store returned to an older copy meanwhile.
    #[error("the response is of an earlier era of the store")]
    EarlierEra,
    /// No response arrived; an append may have taken effect.
    #[error("the store did not respond")]
    Lost,
    /// The request cannot be encoded or the response cannot be parsed.
    #[error("the request or the response is malformed")]
    Malformed,
}

/// A record of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) key: String,
    /// `None` if the key was deleted.
    pub(crate) value: Option<Bytes>,
}

/// Records of a partition, with the offsets needed to read on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Batch {
    pub(crate) records: Vec<Record>,
    /// Offset for the next read.
    pub(crate) next: u64,
    /// End offset of the partition at the time of the response.
    pub(crate) end: u64,
    /// Era of the store, if it states one. Offsets of different eras have nothing to do with each other.
    pub(crate) era: Option<u64>,
}

/// A client for the store. Cheap to clone.
#[derive(Clone)]
pub(crate) struct Client {
    http: connect::HttpClient,
    address: SocketAddr,
    /// Highest era of which a response arrived, from any call; `None` until one states it.
    era: Arc<watch::Sender<Option<u64>>>,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let http = connect::single_use_builder().build(connect::connector());
        Self { http, address, era: Arc::new(watch::Sender::new(None)) }
    }

    /// The highest known era of the store, which rises each time it comes back from an older copy. Changes are seen by
    /// all clones.
    pub(crate) fn era(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    /// The newest record of each key, with the end offset that the first page reports. `queue` is the longest time for
    /// which the call may wait behind appends to the topic.
    pub(crate) async fn newest(&self, topic: &str, queue: Duration) -> Result<Batch, Error> {
        let mut listing = Listing::default();
        let mut first_era = None;
        loop {
            let query = listing.query();
            let path = format!("/api/log-newest?topic={topic}&part={PARTITION}{query}");
            let (body, era) = self.call(Method::GET, &path, Bytes::new(), queue).await?;
            if era != *first_era.get_or_insert(era) {
                return Err(Error::EarlierEra);
            }
            if listing.add(&body)? {
                let (records, end) = listing.finish();
                return Ok(Batch { records, next: end, end, era });
            }
        }
    }

    /// Reads records starting at offset `from`. If there are none yet, waits for one for at most `wait`.
    pub(crate) async fn read(
        &self,
        topic: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Batch, Error> {
        let wait_ms = wait.as_millis();
        let path =
            format!("/api/log-read?topic={topic}&part={PARTITION}&from={from}&wait_ms={wait_ms}");
        let (body, era) = self.call(Method::GET, &path, Bytes::new(), wait).await?;
        Ok(Batch { era, ..parse_read(body, from)? })
    }

    /// Appends one record. Returns the era of the store.
    pub(crate) async fn append(
        &self,
        topic: &str,
        key: &str,
        value: &[u8],
    ) -> Result<Option<u64>, Error> {
        let path = format!("/api/log-append?topic={topic}&part={PARTITION}");
        let key_length = u8::try_from(key.len()).map_err(|_| Error::Malformed)?;
        let length = u32::try_from(1 + key.len() + value.len()).map_err(|_| Error::Malformed)?;
        let mut body = BytesMut::new();
        body.extend_from_slice(&length.to_be_bytes());
        body.extend_from_slice(&[key_length]);
        body.extend_from_slice(key.as_bytes());
        body.extend_from_slice(value);
        self.call(Method::POST, &path, body.freeze(), MAX_APPEND_QUEUE).await.map(|(_, era)| era)
    }

    /// Makes one call, on a connection of its own. A response that has the id of another call is dropped.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<(Bytes, Option<u64>), Error> {
        let uri = format!("http://{}{path}", self.address);
        let request = Request::builder().method(method).uri(uri).body(Full::new(body));
        let mut request = request.map_err(|_| Error::Malformed)?;
        let id = headers::new_request_id();
        headers::set_request_id(request.headers_mut(), &id);
        let exchange = async {
            let response = self.http.request(request).await.map_err(|_| Error::Lost)?;
            if !headers::id_matches(response.headers(), &id) {
                return Err(Error::Lost);
            }
            let era = self.record_era(response.headers())?;
            match response.status() {
                StatusCode::OK => {}
                StatusCode::GONE => return Err(Error::Compacted),
                status => return Err(Error::Refused(status.as_u16())),
            }
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            Ok((body.map_err(|_| Error::Lost)?.to_bytes(), era))
        };
        tokio::time::timeout(wait + RESPONSE_TIMEOUT, exchange).await.unwrap_or(Err(Error::Lost))
    }

    /// Returns the era that a response states, and remembers it if it is a new one.
    fn record_era(&self, headers: &HeaderMap) -> Result<Option<u64>, Error> {
        let stated = headers.get(ERA).and_then(|era| era.to_str().ok()?.trim().parse().ok());
        let era: Option<u64> = stated.or(*self.era.borrow());
        self.era.send_if_modified(|known| {
            let risen = era > *known;
            *known = era.max(*known);
            risen
        });
        if era < *self.era.borrow() { Err(Error::EarlierEra) } else { Ok(era) }
    }
}

/// Parses the response to a read from offset `from`: the end offset, the first retained offset, then the records. A record
/// without a key names nothing and is left out. Where the rest cannot be divided into records, the next read begins.
pub(crate) fn parse_read(mut body: Bytes, from: u64) -> Result<Batch, Error> {
    if body.len() < READ_HEADER_BYTES {
        return Err(Error::Malformed);
    }
    let end = body.get_u64();
    let _first_retained = body.get_u64();
    let mut records = Vec::new();
    let mut next = from;
    while !body.is_empty() {
        let Some(record) = split_record(&mut body) else { break };
        records.extend(parse_record(record));
        next += 1;
    }
    if !body.is_empty() && next == from {
        return Err(Error::Malformed);
    }
    Ok(Batch { records, next, end, era: None })
}

/// Removes the next record from `body` and returns its content; `None` if it is incomplete.
fn split_record(body: &mut Bytes) -> Option<Bytes> {
    let mut rest = body.clone();
    let length = rest.try_get_u32().ok()? as usize;
    if rest.len() < length {
        return None;
    }
    let record = rest.split_to(length);
    *body = rest;
    Some(record)
}

/// Parses the content of a record; `None` if it has no key, or one that is not text.
fn parse_record(mut record: Bytes) -> Option<Record> {
    let key_length = usize::from(record.try_get_u8().ok()?);
    if record.len() < key_length {
        return None;
    }
    let key = record.split_to(key_length);
    let key = std::str::from_utf8(&key).ok()?.to_owned();
    Some(Record { key, value: (!record.is_empty()).then_some(record) })
}
