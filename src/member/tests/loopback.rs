//! Tests of membership over QUIC on loopback.

use std::sync::Arc;

use bytes::Bytes;
use prometheus::Registry;

use super::network::{host, settings};
use crate::member::{Service, View};
use crate::name;
use crate::peer::{self, Protocol, Quic};

struct Handler(Service);

impl peer::Handler for Handler {
    async fn handle(
        &self,
        from: name::Host,
        protocol: Protocol,
        body: Bytes,
    ) -> Result<Bytes, peer::Error> {
        match protocol {
            Protocol::Membership => self.0.handle(from, &body),
            _ => Err(peer::Error::Refused(from)),
        }
    }

    fn handle_datagram(&self, from: name::Host, _: Protocol, body: Bytes) {
        self.0.handle_datagram(from, &body);
    }
}

struct Host {
    service: Service,
    quic: Quic,
    registry: Registry,
}

/// Starts a host with the addresses of `seeds`.
fn start(index: usize, seeds: &[&Host]) -> Host {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    drop(socket);
    let mut settings = settings(index, 1, 1);
    settings.address = address;
    settings.seeds = seeds.iter().map(|host| host.quic.address().unwrap()).collect();
    let registry = Registry::new();
    let service = Service::new(settings, &registry).unwrap();
    let link = peer::Settings::new(host(index), address, peer::Key::new([1; 32]));
    let quic = Quic::start(link, Handler(service.clone())).unwrap();
    service.start(quic.clone(), None);
    Host { service, quic, registry }
}

async fn wait_for(host: &Host, done: impl FnMut(&Arc<View>) -> bool) {
    host.service.view().wait_for(done).await.unwrap();
}

fn counter(host: &Host, name: &str) -> f64 {
    let families = host.registry.gather();
    let family = families.iter().find(|family| family.name() == name).unwrap();
    family.get_metric()[0].get_counter().get_value()
}

#[tokio::test]
async fn hosts_join_and_announce_leaving_and_document_versions() {
    let first = start(0, &[]);
    let second = start(1, &[&first]);
    let third = start(2, &[&first]);
    for host in [&first, &second, &third] {
        wait_for(host, |view| view.members().len() == 3).await;
    }
    let view = |host: &Host| host.service.view().borrow().clone();
    assert_eq!(*third.service.neighbours().borrow(), [host(0), host(1)]);
    let owner = view(&first).owner("a").cloned();
    assert_eq!(view(&second).owner("a").cloned(), owner);
    assert_eq!(view(&third).owner("a").cloned(), owner);

    third.service.set_document_version(9);
    second.service.newer_document().wait_for(|newer| newer.is_some()).await.unwrap();
    first.service.announce_leaving();
    wait_for(&second, |view| view.owners("a", 9).len() == 2).await;
    first.service.announce_exit().await;
    first.quic.close().await;
    wait_for(&third, |view| view.members().len() == 2).await;

    while counter(&second, "nutmeghead_peer_received_bytes_total") == 0.0 {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert_eq!(counter(&second, "nutmeghead_member_deaths_total"), 0.0);
}
