//! Who owns what, by the newest membership view.

use std::sync::Arc;

use tokio::sync::watch;

use crate::{claim, member, name, owner};

/// Follows the membership view. Cheap to clone.
#[derive(Clone)]
pub(super) struct Owned {
    own: name::Host,
    view: watch::Receiver<Arc<member::View>>,
    peers: watch::Sender<Vec<name::Host>>,
}

impl Owned {
    pub(super) fn new(own: name::Host, view: watch::Receiver<Arc<member::View>>) -> Self {
        Self { own, view, peers: watch::Sender::new(Vec::new()) }
    }

    /// The other live hosts.
    pub(super) fn peers(&self) -> watch::Receiver<Vec<name::Host>> {
        self.peers.subscribe()
    }

    /// Keeps [`Self::peers`] up to date, until the task is dropped.
    pub(super) async fn follow(mut self) {
        loop {
            let view = Arc::clone(&self.view.borrow_and_update());
            let members = view.members().iter().filter(|m| m.condition == member::Condition::Alive);
            let others = members.filter(|member| member.host != self.own);
            self.peers.send_replace(others.map(|member| member.host.clone()).collect());
            if self.view.changed().await.is_err() {
                return;
            }
        }
    }

    fn rank(&self, key: &str, count: usize) -> Vec<name::Host> {
        let view = self.view.borrow();
        view.owners(key, count).into_iter().map(|member| member.host.clone()).collect()
    }
}

impl owner::Owners for Owned {
    fn owners(&self, key: &str, count: usize) -> Vec<name::Host> {
        self.rank(key, count)
    }

    fn owns(&self, host: &name::Host, key: &str) -> bool {
        self.view.borrow().owner(key).is_some_and(|member| member.host == *host)
    }
}

impl claim::View for Owned {
    fn rank(&self, topic: &str, count: usize) -> Vec<name::Host> {
        self.rank(topic, count)
    }
}
