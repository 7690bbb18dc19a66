use std::convert::Infallible;
use std::future::poll_fn;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;

use super::*;

/// A body of parts that are all there.
struct Parts {
    left: u32,
}

impl hyper::body::Body for Parts {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.left.checked_sub(1).map(|left| {
            self.left = left;
            Ok(Frame::data(Bytes::from_static(b":\n")))
        });
        Poll::Ready(part)
    }
}

/// Reads a body. Returns its bytes, and the most parts that it returned without being pending.
pub(crate) async fn read<B>(mut body: B) -> (usize, u32)
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Debug,
{
    let (mut bytes, mut in_a_row, mut most_in_a_row) = (0, 0, 0);
    loop {
        let frame = poll_fn(|context| {
            let polled = Pin::new(&mut body).poll_frame(context);
            in_a_row = if polled.is_ready() { in_a_row + 1 } else { 0 };
            polled
        });
        let Some(frame) = frame.await else { return (bytes, most_in_a_row) };
        bytes += frame.expect("a part").data_ref().map_or(0, Bytes::len);
        most_in_a_row = most_in_a_row.max(in_a_row);
    }
}

/// Guards against a body that is never pending, beside which no other task runs.
#[tokio::test]
async fn other_tasks_run_between_parts_that_are_there() {
    let parts = 10 * MAX_PARTS_IN_A_ROW;
    let body = Body::new(Parts { left: parts });
    assert_eq!(read(body).await, (2 * parts as usize, MAX_PARTS_IN_A_ROW));
}

/// Guards against deadlines that are not noticed while parts are always there.
#[tokio::test]
async fn timers_fire_between_parts_that_are_there() {
    let mut body = Body::new(Parts { left: u32::MAX });
    let read = async { while body.frame().await.is_some() {} };
    assert!(tokio::time::timeout(Duration::from_millis(1), read).await.is_err());
}
