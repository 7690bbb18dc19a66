//! Who owns what, by the newest membership view.

use std::sync::Arc;

use tokio::sync::watch;

use crate::{claim, member, name, owner};

/// Follows the membership view. Cheap to clone.
#[derive(Clone)]
pub(super) struct Owned {
    view: watch::Receiver<Arc<member::View>>,
}

impl Owned {
    pub(super) fn new(view: watch::Receiver<Arc<member::View>>) -> Self {
        Self { view }
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

impl claim::Ownership for Owned {
    fn owners(&self, topic: &str, count: usize) -> Vec<name::Host> {
        self.rank(topic, count)
    }
}
