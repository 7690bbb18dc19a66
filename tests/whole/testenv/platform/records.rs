//! What the operators and the servers write to the store.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use serde_json::Value;
use standin::platform::{Capacity, Server, document, entry};

use super::{KEY, Platform};

impl Platform {
    /// Writes to the store a document that accepts these bearer keys.
    pub fn submit(&self, keys: &[&str]) {
        self.submit_routes(keys, "app");
    }

    /// Writes to the store a document that accepts these bearer keys and routes swaps and look-ups to `service`.
    pub fn submit_routes(&self, keys: &[&str], service: &str) {
        let version = self.document_version.fetch_add(3, Ordering::Relaxed) + 3;
        let document = document(version, keys, service, Capacity::default());
        self.store.put("keyed.op", "config", document.to_string().as_bytes());
    }

    /// Writes to the store the usual document with some changes.
    pub fn submit_changed(&self, change: impl FnOnce(&mut Value)) {
        let version = self.document_version.fetch_add(3, Ordering::Relaxed) + 3;
        let mut document = document(version, &[KEY], "app", Capacity::default());
        change(&mut document);
        self.store.put("keyed.op", "config", document.to_string().as_bytes());
    }

    /// Writes to the store the entry of a server in this failure domain.
    pub fn list_domain(&self, server: &Server, service: &str, domain: &str) {
        let mut entry = entry(server.address(), service, "ready", "v1", 1);
        entry["zone"] = domain.into();
        self.store.put("keyed.servers", server.id(), entry.to_string().as_bytes());
    }

    /// Writes to the store an entry in state `ready` for every engine and backend server.
    pub fn list_all(&self) {
        for engine in self.engines.iter() {
            self.list(engine, "pool", "ready");
        }
        for server in self.servers.iter() {
            self.list(server, "app", "ready");
        }
    }

    /// Writes to the store the entry of a server of build `v1`.
    pub fn list(&self, server: &Server, service: &str, state: &str) {
        self.list_build(server, service, state, "v1");
    }

    /// Writes to the store the entry of a server.
    pub fn list_build(&self, server: &Server, service: &str, state: &str, build: &str) {
        self.list_incarnation(server, service, state, build, 1);
    }

    /// Writes to the store the entry of a server at this address.
    pub fn list_address(&self, id: &str, address: SocketAddr, service: &str) {
        let entry = entry(address, service, "ready", "v1", 1);
        self.store.put("keyed.servers", id, entry.to_string().as_bytes());
    }

    /// Writes to the store the entry of a server that started at `born`.
    pub fn list_incarnation(
        &self,
        server: &Server,
        service: &str,
        state: &str,
        build: &str,
        born: u64,
    ) {
        let entry = entry(server.address(), service, state, build, born);
        self.store.put("keyed.servers", server.id(), entry.to_string().as_bytes());
    }
}
