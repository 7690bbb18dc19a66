//! Tests of the connections between entry hosts, over loopback.

use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use super::*;

/// Echoes the body with the caller's name in front, refuses `Document` calls and never answers `Claim` calls.
struct Echo;

impl Handler for Echo {
    async fn handle(
        &self,
        from: name::Host,
        protocol: Protocol,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        match protocol {
            Protocol::Claim => std::future::pending().await,
            Protocol::Document => Err(Error::Refused(from)),
            _ => Ok([from.as_str().as_bytes(), &body].concat().into()),
        }
    }
}

fn host(name: &str) -> name::Host {
    name::Host::new(name).unwrap()
}

fn start(name: &str, address: SocketAddr, key: u8) -> Quic {
    start_with_timeout(name, address, key, Duration::from_millis(500))
}

fn start_with_timeout(name: &str, address: SocketAddr, key: u8, call_timeout: Duration) -> Quic {
    let settings =
        Settings::new(host(name), address, Key::new([key; 32])).with_call_timeout(call_timeout);
    Quic::start(settings, Echo).unwrap()
}

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Two hosts of one fleet, of which the first has the address of the second.
fn pair() -> (Quic, Quic) {
    let (first, second) = (start("E.first_1", any_port(), 1), start("second", any_port(), 1));
    first.set_address(host("second"), second.address().unwrap());
    (first, second)
}

#[tokio::test]
async fn handler_gets_the_name_of_the_caller() {
    let (first, _second) = pair();

    let answer = first.call(&host("second"), Protocol::Admission, Bytes::from("!")).await.unwrap();

    assert_eq!(answer, "E.first_1!");
}

#[tokio::test]
async fn calls_reuse_an_incoming_connection() {
    let (first, second) = pair();
    first.call(&host("second"), Protocol::Admission, Bytes::new()).await.unwrap();

    let answer = second.call(&host("E.first_1"), Protocol::Admission, Bytes::new()).await;

    assert_eq!(answer.unwrap(), "second");
}

#[tokio::test]
async fn errors_tell_whether_the_call_may_have_arrived() {
    let (first, second) = pair();
    first.set_address(host("nobody"), ([127, 0, 0, 1], 9).into());
    first.set_address(host("imposter"), second.address().unwrap());
    let other_fleet = start("stranger", any_port(), 2);
    other_fleet.set_address(host("second"), second.address().unwrap());

    let call = async |link: &Quic, name, protocol| {
        link.call(&host(name), protocol, Bytes::from("x")).await.unwrap_err()
    };

    assert!(matches!(call(&first, "missing", Protocol::Admission).await, Error::UnknownHost(_)));
    assert!(matches!(call(&first, "nobody", Protocol::Admission).await, Error::Unreachable(_)));
    assert!(matches!(call(&first, "imposter", Protocol::Admission).await, Error::Unreachable(_)));
    assert!(matches!(
        call(&other_fleet, "second", Protocol::Admission).await,
        Error::Unreachable(_)
    ));
    assert!(matches!(call(&first, "second", Protocol::Claim).await, Error::Lost(_)));
    assert!(matches!(call(&first, "second", Protocol::Document).await, Error::Refused(_)));
    let large = Bytes::from(vec![0; wire::MAX_MESSAGE_BYTES + 1]);
    let error = first.call(&host("second"), Protocol::Admission, large).await.unwrap_err();
    assert!(matches!(error, Error::Wire(_)));
}

#[tokio::test]
async fn largest_message_is_delivered() {
    // An unoptimised build that waits for a processor needs seconds for the encryption.
    let start = |name| start_with_timeout(name, any_port(), 1, Duration::from_secs(30));
    let (first, second) = (start("E.first_1"), start("second"));
    first.set_address(host("second"), second.address().unwrap());
    let body = Bytes::from(vec![7; wire::MAX_MESSAGE_BYTES - 9]);

    let answer = first.call(&host("second"), Protocol::Admission, body).await.unwrap();

    assert_eq!(answer.len(), wire::MAX_MESSAGE_BYTES);
}

#[test]
fn restarted_host_resets_old_connections() {
    let runtime = || tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let (kept_runtime, killed_runtime) = (runtime(), runtime());
    let first = kept_runtime.block_on(async { start("first", any_port(), 1) });
    let second = killed_runtime.block_on(async { start("second", any_port(), 1) });
    let address = second.address().unwrap();
    first.set_address(host("second"), address);
    let call =
        || kept_runtime.block_on(first.call(&host("second"), Protocol::Admission, Bytes::new()));
    call().unwrap();

    drop(second);
    drop(killed_runtime);
    let _second = kept_runtime.block_on(async { start("second", address, 1) });

    // A late packet of the old connection may have been answered with the reset already.
    match call() {
        Ok(answer) => assert_eq!(answer, "first"),
        Err(error) => assert!(matches!(error, Error::Lost(_)), "{error:?}"),
    }
    assert_eq!(call().unwrap(), "first");
}

#[tokio::test]
async fn generated_requests_are_answered_or_refused() {
    let mut rng = StdRng::seed_from_u64(17);
    for _ in 0..2_000 {
        let mut bytes = vec![0; rng.random_range(0..40)];
        rng.fill_bytes(&mut bytes);
        if let Some(protocol) = bytes.first_mut() {
            *protocol %= 8;
        }
        let known = bytes.first().is_some_and(|protocol| matches!(protocol, 1 | 4 | 5));

        // The handler never answers `Claim` calls.
        if bytes.first() == Some(&2) {
            continue;
        }
        let answer = quic::dispatch(&Echo, host("a"), bytes.into()).await;

        assert_eq!(answer.is_ok(), known);
    }
}
