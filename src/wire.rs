//! Binary encoding of messages between entry hosts (postcard).

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not a message of the expected type, or the message has no encoding.
    #[error("malformed message")]
    Malformed(#[source] postcard::Error),
    /// The message exceeds [`MAX_MESSAGE_BYTES`].
    #[error("message of {0} bytes is larger than {MAX_MESSAGE_BYTES}")]
    TooLarge(usize),
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the encoded message exceeds [`MAX_MESSAGE_BYTES`], [`Error::Malformed`] if `message`
/// has no encoding.
///
/// ```
/// let bytes = nutmeghead::wire::encode(&(7_u32, "text"))?;
/// assert_eq!(nutmeghead::wire::decode::<(u32, String)>(&bytes)?, (7, "text".to_owned()));
/// # Ok::<(), nutmeghead::wire::Error>(())
/// ```
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes, Error> {
    let bytes = postcard::to_stdvec(message).map_err(Error::Malformed)?;
    check_size(bytes.len())?;
    Ok(bytes.into())
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if `bytes` exceeds [`MAX_MESSAGE_BYTES`], [`Error::Malformed`] if decoding as `M`
/// fails.
///
/// ```
/// assert!(nutmeghead::wire::decode::<String>(&[200, 1]).is_err());
/// ```
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, Error> {
    check_size(bytes.len())?;
    postcard::from_bytes(bytes).map_err(Error::Malformed)
}

fn check_size(size: usize) -> Result<(), Error> {
    if size > MAX_MESSAGE_BYTES {
        return Err(Error::TooLarge(size));
    }
    Ok(())
}
