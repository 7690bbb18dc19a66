//! Tests of the queue of a stream, in virtual time.

use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, sleep, timeout};

use super::{Closed, MAX_PART_BYTES, MAX_QUEUED_BYTES, Receiver, Sender, new};
use crate::entry::body::Truncated;
use crate::entry::memory::{Account, Connection};

const STALL: Duration = Duration::from_secs(10);

fn queue(account: &Arc<Account>) -> (Sender, Receiver) {
    new(account, &Arc::new(Connection::default()), STALL)
}

fn account(memory: Option<usize>) -> Arc<Account> {
    Arc::new(Account::new(memory))
}

async fn next(receiver: &Receiver) -> Option<Result<Bytes, Truncated>> {
    poll_fn(|context| receiver.poll_next(context)).await
}

/// Queues bytes until there is no room, and returns their number.
async fn fill(sender: &Sender) -> usize {
    let mut sent = 0;
    while timeout(Duration::from_millis(1), sender.send(&[0; 512])).await.is_ok() {
        sent += 512;
    }
    sent
}

/// Guards against queues of a few chunks of any size, and against a part that counts as read while the connection holds it.
#[tokio::test(start_paused = true)]
async fn the_bytes_of_a_queue_are_bounded_until_they_are_written() {
    let account = account(None);
    let (sender, receiver) = queue(&account);
    assert_eq!(fill(&sender).await, MAX_QUEUED_BYTES);
    let taken = next(&receiver).await;
    assert_eq!((fill(&sender).await, account.held()), (0, MAX_QUEUED_BYTES));
    drop(taken);
    assert_eq!(fill(&sender).await, 512);
    drop(receiver);
    assert_eq!(account.held(), 0);
}

/// Guards against a stream that stops because others have filled the account.
#[tokio::test(start_paused = true)]
async fn a_full_account_leaves_each_stream_one_part() {
    let account = account(Some(1_000_000));
    let mut others = account.hold(None);
    others.grow(60_000);
    let (sender, receiver) = queue(&account);
    let sending = tokio::spawn(async move { sender.send(&[1; 10 * MAX_PART_BYTES]).await });
    let mut received = 0;
    while received < 10 * MAX_PART_BYTES {
        let part = next(&receiver).await.expect("a part").expect("no error");
        received += part.len();
        assert!(account.held() <= 60_000 + MAX_PART_BYTES);
    }
    assert_eq!(sending.await.expect("joined"), Ok(()));
}

/// Guards against a caller that reads nothing and keeps its engine and memory, also if its queue is not full.
#[tokio::test(start_paused = true)]
async fn a_caller_that_reads_nothing_is_cut_off() {
    for bytes in [100, 10 * MAX_QUEUED_BYTES] {
        let account = account(None);
        let connection = Arc::new(Connection::default());
        let (sender, _receiver) = new(&account, &connection, STALL);
        let started = Instant::now();
        let closed = match sender.send(&vec![0; bytes]).await {
            Ok(()) => sender.closed().await,
            Err(closed) => closed,
        };
        assert_eq!(closed, Closed::Stalled);
        assert!((STALL..STALL + Duration::from_secs(1)).contains(&started.elapsed()));
        sender.cut();
        assert_eq!(account.held(), 0);
        assert!(timeout(Duration::ZERO, connection.wait_cut()).await.is_ok());
    }
}

/// Guards against slow but healthy streams that are cut off.
#[tokio::test(start_paused = true)]
async fn a_slow_caller_that_reads_gets_the_whole_stream() {
    let account = account(None);
    let (sender, receiver) = queue(&account);
    let sending = tokio::spawn(async move {
        let sent = sender.send(&[0; 5 * MAX_QUEUED_BYTES]).await;
        sender.finish(Ok(()));
        sent
    });
    let mut received = 0;
    while let Some(part) = next(&receiver).await {
        received += part.expect("no error").len();
        sleep(STALL.mul_f64(0.9)).await;
    }
    assert_eq!((received, sending.await.expect("joined")), (5 * MAX_QUEUED_BYTES, Ok(())));
}

/// Guards against a caller that is taken for stalled while there is nothing to read.
#[tokio::test(start_paused = true)]
async fn a_caller_is_not_stalled_while_there_is_nothing_to_read() {
    let (sender, receiver) = queue(&account(None));
    sender.send(b"x").await.expect("room");
    drop(next(&receiver).await);
    assert!(timeout(3 * STALL, sender.closed()).await.is_err());
    sender.send(b"y").await.expect("room");
    assert!(timeout(STALL / 2, sender.closed()).await.is_err());
    drop(receiver);
    assert_eq!(sender.closed().await, Closed::Left);
}

/// Guards against an abandoned stream that looks complete, and against a cut that reaches other requests of a connection.
#[tokio::test(start_paused = true)]
async fn a_stream_that_was_not_finished_is_incomplete() {
    let (sender, receiver) = queue(&account(None));
    sender.send(b"x").await.expect("room");
    drop(sender);
    assert_eq!(next(&receiver).await, Some(Ok("x".into())));
    assert_eq!(next(&receiver).await, Some(Err(Truncated)));

    let connection = Arc::new(Connection::default());
    connection.set_shared();
    let (sender, receiver) = new(&account(None), &connection, STALL);
    sender.send(b"x").await.expect("room");
    sender.cut();
    assert_eq!(next(&receiver).await, Some(Err(Truncated)));
    assert!(timeout(STALL, connection.wait_cut()).await.is_err());
}
