//! TLS certificates of entry hosts, signed by a certificate authority derived from the fleet key.

use std::any::Any;
use std::fmt;
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::crypto::{CryptoError, HmacKey};
use rcgen::{CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};
use rustls::RootCertStore;
use rustls::client::Resumption;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use rustls::server::{NoServerSessionStorage, WebPkiClientVerifier};

use super::Error;
use crate::name;

const ALPN: &[u8] = b"nutmeghead/1";
const CA_CONTEXT: &str = "nutmeghead 2026 certificate authority";
const RESET_CONTEXT: &str = "nutmeghead 2026 stateless reset";

/// The DNS name that every entry host's certificate has, beside its own.
pub(super) const FLEET_NAME: &str = "fleet.nutmeghead";

/// Suffix of the DNS name that holds the host name in hexadecimal.
const HOST_SUFFIX: &str = ".host.nutmeghead";

/// Longest label of a DNS name that encodes a host name, in bytes.
const MAX_LABEL_BYTES: usize = 62;

/// PKCS #8 encoding of an Ed25519 private key, without the 32 key bytes that end it.
const PKCS8_PREFIX: [u8; 16] =
    [0x30, 0x2e, 2, 1, 0, 0x30, 5, 6, 3, 0x2b, 0x65, 0x70, 4, 0x22, 4, 0x20];

/// The fleet key: the secret that all entry hosts of a fleet share.
///
/// ```
/// let key = nutmeghead::peer::Key::new([7; 32]);
/// assert_eq!(format!("{key:?}"), "Key(..)");
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl Key {
    /// Creates a key from 32 secret bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Derives a key for the use that `context` names.
    ///
    /// ```
    /// let key = nutmeghead::peer::Key::new([7; 32]);
    /// assert_ne!(key.derive("one use"), key.derive("another"));
    /// ```
    pub fn derive(&self, context: &str) -> [u8; 32] {
        blake3::derive_key(context, &self.0)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// TLS configuration of one process, with its certificate.
pub(super) struct Identity {
    pub(super) client: QuicClientConfig,
    pub(super) server: QuicServerConfig,
}

impl Identity {
    /// Generates a certificate for `host`, signed by the certificate authority derived from `key`.
    pub(super) fn new(key: &Key, host: &name::Host) -> Result<Self, Error> {
        let authority = authority_key(key)?;
        let params = authority_params()?;
        let root = params.self_signed(&authority)?;
        let leaf_key = KeyPair::generate()?;
        let leaf =
            leaf_params(host)?.signed_by(&leaf_key, &Issuer::from_params(&params, &authority))?;

        let mut roots = RootCertStore::empty();
        roots.add(root.der().clone())?;
        let roots = Arc::new(roots);
        let chain = vec![leaf.der().clone()];
        let private = PrivateKeyDer::from(PrivatePkcs8KeyDer::from(leaf_key.serialize_der()));
        Ok(Self {
            client: client_config(roots.clone(), chain.clone(), private.clone_key())?,
            server: server_config(roots, chain, private)?,
        })
    }
}

fn authority_key(key: &Key) -> Result<KeyPair, Error> {
    let mut document = PKCS8_PREFIX.to_vec();
    document.extend_from_slice(&key.derive(CA_CONTEXT));
    Ok(KeyPair::try_from(document)?)
}

fn authority_params() -> Result<CertificateParams, Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(rcgen::BasicConstraints::Constrained(0));
    params.distinguished_name.push(DnType::CommonName, "nutmeghead fleet");
    Ok(params)
}

fn leaf_params(host: &name::Host) -> Result<CertificateParams, Error> {
    let mut params = CertificateParams::new(vec![FLEET_NAME.to_owned(), dns_name(host)])?;
    params.distinguished_name.push(DnType::CommonName, host.as_str());
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    Ok(params)
}

fn client_config(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<QuicClientConfig, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    config.resumption = Resumption::disabled();
    QuicClientConfig::try_from(config).map_err(|_| no_cipher_suite())
}

fn server_config(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<QuicServerConfig, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(|error| rustls::Error::General(error.to_string()))?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    config.session_storage = Arc::new(NoServerSessionStorage {});
    config.send_tls13_tickets = 0;
    QuicServerConfig::try_from(config).map_err(|_| no_cipher_suite())
}

fn no_cipher_suite() -> Error {
    Error::Tls(rustls::Error::General("no cipher suite for QUIC".to_owned()))
}

/// Encodes a host name as a DNS name, in hexadecimal because DNS names ignore case, and split into labels because their
/// length is limited.
fn dns_name(host: &name::Host) -> String {
    let digits: Vec<char> = host.as_str().bytes().flat_map(hex_digits).collect();
    let labels: Vec<String> = digits.chunks(MAX_LABEL_BYTES).map(|c| c.iter().collect()).collect();
    format!("{}{HOST_SUFFIX}", labels.join("."))
}

fn hex_digits(byte: u8) -> [char; 2] {
    let digit = |nibble| char::from_digit(u32::from(nibble), 16).unwrap_or('0');
    [digit(byte >> 4), digit(byte & 15)]
}

fn host_name(dns_name: &str) -> Option<name::Host> {
    let digits: String = dns_name.strip_suffix(HOST_SUFFIX)?.split('.').collect();
    if !digits.is_ascii() || digits.len() % 2 != 0 {
        return None;
    }
    let bytes: Result<Vec<u8>, _> =
        (0..digits.len()).step_by(2).map(|i| u8::from_str_radix(&digits[i..i + 2], 16)).collect();
    name::Host::new(String::from_utf8(bytes.ok()?).ok()?).ok()
}

/// The host name in the certificate of a verified connection.
pub(super) fn peer_host(identity: Option<Box<dyn Any>>) -> Option<name::Host> {
    let chain = identity?.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    let certificate = webpki::EndEntityCert::try_from(chain.first()?).ok()?;
    certificate.valid_dns_names().find_map(host_name)
}

/// Key for stateless reset tokens. It depends only on the fleet key and the host name, so that a restarted process can
/// reset the connections of the previous one.
pub(super) struct ResetKey([u8; 32]);

impl ResetKey {
    pub(super) fn new(key: &Key, host: &name::Host) -> Self {
        let secret = key.derive(RESET_CONTEXT);
        Self(*blake3::keyed_hash(&secret, host.as_str().as_bytes()).as_bytes())
    }
}

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        let hash = blake3::keyed_hash(&self.0, data);
        signature_out.copy_from_slice(&hash.as_bytes()[..signature_out.len()]);
    }

    fn signature_len(&self) -> usize {
        blake3::OUT_LEN
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        let bytes: [u8; blake3::OUT_LEN] = signature.try_into().map_err(|_| CryptoError)?;
        if blake3::keyed_hash(&self.0, data) != blake3::Hash::from(bytes) {
            return Err(CryptoError);
        }
        Ok(())
    }
}
