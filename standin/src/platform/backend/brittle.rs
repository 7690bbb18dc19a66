//! Servers that fall over if they have to turn many requests away.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Server, Service};

/// Time in which rejections are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// When a server falls over.
#[derive(Clone, Copy, Debug)]
pub(super) struct Brittle {
    /// Requests that it turns away within [`WINDOW`] at most.
    pub(super) limit: usize,
    /// Requests that it has room for.
    room: usize,
    /// Time until it is back.
    restart_delay: Duration,
}

/// Requests at a brittle server.
#[derive(Debug, Default)]
pub(super) struct Load {
    pub(super) running: usize,
    rejections: Vec<Instant>,
}

/// A place of a request, free again on drop.
pub(super) struct Place(Arc<Service>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.lock().load.running -= 1;
    }
}

impl Server {
    /// Makes the server brittle: it has room for `room` calls, and crashes if it turns away more than `limit` a second. It is
    /// back after `restart_delay`.
    pub fn set_brittle(&self, limit: usize, room: usize, restart_delay: Duration) {
        self.service.lock().brittle = Some(Brittle { limit, room, restart_delay });
    }
}

impl Service {
    /// Takes a place for a call; `None` if there is no room.
    pub(super) fn enter(self: &Arc<Self>) -> Option<Place> {
        let now = Instant::now();
        let mut inner = self.lock();
        let brittle = inner.brittle;
        let load = &mut inner.load;
        if let Some(brittle) = brittle.filter(|brittle| load.running >= brittle.room) {
            load.rejections.retain(|at| *at + WINDOW > now);
            load.rejections.push(now);
            if load.rejections.len() > brittle.limit {
                load.rejections.clear();
                let address = self.settings.address;
                tokio::spawn(Arc::clone(self).restart(brittle.restart_delay, address));
            }
            return None;
        }
        load.running += 1;
        Some(Place(Arc::clone(self)))
    }
}
