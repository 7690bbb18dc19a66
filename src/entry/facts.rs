//! Facts about one server incarnation that entry hosts share: how they are announced, applied and forwarded.

use super::broadcast::Message;
use super::context::Context;
use crate::directory::{Incarnation, Server};

/// What a host has learnt about one server incarnation.
pub(crate) trait Fact: Sized {
    /// The server incarnation.
    fn incarnation(&self) -> &Incarnation;

    /// Records the fact, which another host told, on `server`. Returns whether it is news for further hosts.
    fn apply(&self, context: &Context, server: &Server) -> bool;

    /// The message that carries the fact.
    fn into_message(self) -> Message;
}

/// Tells the other hosts a fact that this host has learnt itself.
pub(crate) fn announce(context: &Context, fact: impl Fact) {
    context.send(context.roster_view().witness_receivers(), fact.into_message());
}

/// Applies a fact that another host told, and forwards it once if it is news. A fact about another incarnation than the
/// known one is ignored.
pub(crate) fn receive(context: &Context, fact: impl Fact) {
    let incarnation = fact.incarnation();
    let server =
        context.cache.update_directory(|directory| directory.server(&incarnation.id).cloned());
    let Some(server) = server.filter(|server| server.entry.incarnation() == *incarnation) else {
        return;
    };
    if fact.apply(context, &server) {
        context.send(context.roster_view().forward_receivers(), fact.into_message());
    }
}

#[cfg(test)]
pub(in crate::entry) mod tests;
