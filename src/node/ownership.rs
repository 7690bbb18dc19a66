//! Ownership of keys according to the current membership view.

use std::sync::Arc;

use tokio::sync::watch;

use crate::{claim, member, name, owner};

/// Determines owners from the current membership view. Cheap to clone.
#[derive(Clone)]
pub(super) struct Ownership {
    view: watch::Receiver<Arc<member::View>>,
}

impl Ownership {
    pub(super) fn new(view: watch::Receiver<Arc<member::View>>) -> Self {
        Self { view }
    }

    fn ranked_owners(&self, key: &str, count: usize) -> Vec<name::Host> {
        let view = self.view.borrow();
        view.owners(key, count).into_iter().map(|member| member.host.clone()).collect()
    }
}

impl owner::Owners for Ownership {
    fn owners(&self, key: &str, count: usize) -> Vec<name::Host> {
        self.ranked_owners(key, count)
    }

    fn owns(&self, host: &name::Host, key: &str) -> bool {
        self.view.borrow().owner(key).is_some_and(|member| member.host == *host)
    }
}

impl claim::Ownership for Ownership {
    fn owners(&self, topic: &str, count: usize) -> Vec<name::Host> {
        self.ranked_owners(topic, count)
    }
}
