//! An address at which connections are neither accepted nor refused, as behind a cut link.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};

use crate::web::Error;

/// Connections that fill the queue of the listener at most.
const MAX_QUEUED: usize = 16;

/// Time after which a connection counts as dropped.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// A listener with a full queue, which drops further connections. Ends on drop.
#[derive(Debug)]
pub struct BlackHole {
    listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl BlackHole {
    /// Starts at `address`. Needs a tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the address cannot be listened on.
    pub fn start(address: SocketAddr) -> Result<Self, Error> {
        let listen = || {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.listen(0)
        };
        let listener = listen().map_err(|source| Error::Listen { address, source })?;
        let connect = |_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok();
        let queued = (0..MAX_QUEUED).map_while(connect).collect();
        Ok(Self { listener, _queued: queued })
    }

    /// The address that the listener has.
    ///
    /// # Panics
    ///
    /// Panics if the system does not know the address of an open listener.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an open listener has an address")
    }

    /// Frees the queue, so that connections are established from now on.
    pub fn into_listener(self) -> TcpListener {
        self.listener
    }
}
