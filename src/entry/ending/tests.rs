use super::*;

/// Reads until the end of the channel. Returns the number of frames, and whether the response is complete.
async fn read(mut receiver: Receiver) -> (usize, bool) {
    let mut frames = 0;
    while let Some(frame) = receiver.recv().await {
        if frame.is_err() {
            return (frames, false);
        }
        frames += 1;
    }
    (frames, true)
}

/// Guards against a response that looks complete although the task that forwards it panicked, also with a full queue.
#[tokio::test]
async fn a_response_whose_task_panics_is_truncated() {
    let (sender, receiver, ending) = channel(2);
    let task = tokio::spawn(async move {
        let _ending = ending;
        for _ in 0..2 {
            sender.try_send(Ok(Bytes::new())).unwrap();
        }
        panic!("the task fails");
    });
    assert!(task.await.is_err());
    assert_eq!(read(receiver).await, (2, false));
}

#[tokio::test]
async fn a_complete_response_has_no_error() {
    let (sender, receiver, ending) = channel(2);
    sender.try_send(Ok(Bytes::new())).unwrap();
    ending.complete();
    drop(sender);
    assert_eq!(read(receiver).await, (1, true));
}
