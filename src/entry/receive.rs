//! Receives the bodies of requests within the account of bytes held.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};

use super::error_response::Reason;
use super::memory::{Account, Connection, Full};
use crate::api::listener::discard;

/// Time allowed for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

impl From<Full> for Reason {
    fn from(_: Full) -> Self {
        Self::Memory
    }
}

/// Receives a body of up to `limit` bytes, which the account holds until its last copy is dropped. If its length is known
/// and does not fit in the account, it is not read.
pub(crate) async fn receive(
    body: Incoming,
    limit: usize,
    account: &Arc<Account>,
    connection: &Arc<Connection>,
) -> Result<Bytes, Reason> {
    let declared = body.size_hint().exact().unwrap_or(0);
    let declared = usize::try_from(declared).unwrap_or(usize::MAX).min(limit);
    let mut hold = match account.admit(connection, declared) {
        Ok(hold) => hold,
        Err(full) => {
            discard(body);
            return Err(full.into());
        }
    };
    let mut body = Limited::new(body, limit);
    let reading = async {
        let mut bytes = BytesMut::with_capacity(declared);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
                true => Reason::TooLarge,
                false => Reason::Incomplete,
            })?;
            let Ok(data) = frame.into_data() else { continue };
            // A copy, because the frame keeps the whole buffer of the connection.
            let missing = (bytes.len() + data.len()).saturating_sub(declared);
            hold.grow_request(missing.min(data.len()))?;
            bytes.extend_from_slice(&data);
        }
        hold.shrink_to(bytes.len());
        Ok(bytes.freeze())
    };
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(bytes)) => Ok(hold.around(bytes)),
        Ok(Err(Reason::Memory)) => {
            discard(body);
            Err(Reason::Memory)
        }
        Ok(Err(reason)) => Err(reason),
        Err(_) => Err(Reason::Incomplete),
    }
}
