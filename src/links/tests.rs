use super::*;

fn service(name: &str) -> name::Service {
    name::Service::new(name).expect("a valid name")
}

fn server(number: usize) -> name::Server {
    name::Server::new(format!("s-{number}")).expect("a valid name")
}

/// Links after failed connections to these servers of 18, one each 100 ms.
fn links_after(servers: &[usize]) -> State {
    let mut links = State::new();
    for (index, number) in servers.iter().enumerate() {
        links.record_failure(&service("app"), &server(*number), 18, index as u64 * 100);
    }
    links
}

#[test]
fn links_are_cut_when_connections_to_several_servers_fail() {
    assert!(!links_after(&[1, 2]).is_cut(&service("app")));
    assert!(links_after(&[1, 2, 3]).is_cut(&service("app")));
    assert!(!links_after(&[1, 2, 3]).is_cut(&service("pool")));
}

#[test]
fn one_server_that_fails_again_and_again_is_not_a_cut() {
    assert!(!links_after(&[1, 1, 1, 2, 2, 1]).is_cut(&service("app")));
}

#[test]
fn a_service_with_few_servers_is_cut_when_all_fail() {
    let mut links = State::new();
    assert_eq!(links.record_failure(&service("app"), &server(1), 2, 0), None);
    let change = links.record_failure(&service("app"), &server(2), 2, 10);
    assert_eq!(change, Some(Change::Cut));
}

#[test]
fn a_connection_starts_the_count_anew() {
    let mut links = links_after(&[1, 2]);
    assert_eq!(links.record_connection(&service("app")), None);
    links.record_failure(&service("app"), &server(3), 18, 300);
    assert!(!links.is_cut(&service("app")));
}

#[test]
fn old_failures_do_not_count() {
    let mut links = links_after(&[1, 2]);
    links.record_failure(&service("app"), &server(3), 18, 100 + FAILURE_RETENTION_MS);
    assert!(!links.is_cut(&service("app")));
}

#[test]
fn links_stay_cut_until_a_connection_succeeds() {
    let mut links = links_after(&[1, 2, 3]);
    links.record_failure(&service("app"), &server(4), 18, 60_000);
    assert!(links.is_cut(&service("app")));
    assert_eq!(links.cut_services(), [service("app")]);
    assert_eq!(links.record_connection(&service("app")), Some(Change::Restored));
    assert!(!links.is_cut(&service("app")));
}

#[test]
fn failures_are_remembered_while_links_are_cut() {
    let mut links = links_after(&[1, 2, 3]);
    links.record_failure(&service("app"), &server(4), 18, 60_000);
    let mut failed = links.failed_servers(&service("app"));
    failed.sort();
    assert_eq!(failed, [1, 2, 3, 4].map(server));
    links.record_connection(&service("app"));
    assert_eq!(links.failed_servers(&service("app")), []);
}

#[test]
fn a_host_that_declined_is_asked_again_later() {
    let mut links = State::new();
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    links.record_declined(address, 5_000);
    assert!(!links.may_ask(address, 5_000 + DECLINED_MS - 1));
    assert!(links.may_ask(address, 5_000 + DECLINED_MS));
}

/// Cut hosts ask others for each request; each answer is remembered for a while. With `cut` of `hosts` cut, nearly each
/// request finds a host with links among those that it asks.
fn served_by_others(hosts: u16, cut: u16, seed: u64) -> f64 {
    use rand::rngs::StdRng;
    use rand::seq::IndexedRandom as _;
    use rand::{RngExt as _, SeedableRng as _};
    let mut random = StdRng::seed_from_u64(seed);
    let address = |host: u16| SocketAddr::from(([127, 0, 0, 1], 7_000 + host));
    let mut links: Vec<_> = (0..cut).map(|_| State::new()).collect();
    let (mut served, mut requests) = (0, 0);
    for now_ms in (0..10_000).step_by(10) {
        let own = random.random_range(0..hosts);
        let Some(links) = links.get_mut(usize::from(own)) else { continue };
        requests += 1;
        let others: Vec<_> = (0..hosts).filter(|host| *host != own).collect();
        let asked = others.sample(&mut random, crate::entry::MAX_ASKED_HOSTS);
        for host in asked.copied() {
            if !links.may_ask(address(host), now_ms) {
                continue;
            }
            if host >= cut {
                served += 1;
                break;
            }
            links.record_declined(address(host), now_ms);
        }
    }
    f64::from(served) / f64::from(requests)
}

#[test]
fn hosts_without_links_find_one_with_links() {
    for seed in 0..20 {
        for (hosts, cut) in [(9, 3), (9, 6), (9, 8), (295, 59), (295, 118)] {
            let share = served_by_others(hosts, cut, seed);
            assert!(share > 0.98, "seed {seed}: {cut} of {hosts} cut, {share} served");
        }
    }
}
