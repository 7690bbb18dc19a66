//! Reads the tokens of a generation from its engine and reconnects to the same engine when the connection breaks. Used
//! by `open` for new generations and by `completions` for resumed streams.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Frame;
use uuid::Uuid;

use crate::metrics::Instruments;
use crate::stream::{Cursor, Decision};
use crate::{document, engine, fair, metrics, sse};

/// Time without bytes after which the stream is requested again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before each attempt to reconnect to an engine.
const RECONNECT_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(100), Duration::from_millis(300)];

/// Largest number of consecutive reconnections without a token in between.
const MAX_RECONNECTIONS: u32 = 5;

/// Why a generation cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Interruption {
    /// The engine cancelled the generation.
    #[error("the engine cancelled the generation")]
    Cancelled,
    /// The engine was reclaimed.
    #[error("the engine was reclaimed")]
    Reclaimed,
    /// The engine reported an error of its own.
    #[error("the engine failed")]
    Failed,
    /// The engine no longer has the generation.
    #[error("the engine does not know the generation any more")]
    UnknownGeneration,
    /// The engine cannot be reached.
    #[error("the engine cannot be reached")]
    Unreachable,
    /// The engine sent malformed events, or too many connections broke without a token.
    #[error("the engine gives malformed events")]
    Malformed,
}

/// Whether more tokens follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More tokens follow.
    Incomplete,
    /// The generation is complete.
    Complete,
}

/// Receives the tokens of a generation in order.
pub trait Sink: Send {
    /// Writes the token at index `next - 1`. `data` is the JSON of its event and `chunk` the parsed form.
    fn write_token(&mut self, next: u64, data: &Bytes, chunk: &engine::Chunk<'_>);
}

/// The result of processing one event.
enum Disposition {
    Token {
        last: bool,
    },
    Dropped,
    /// The generation is complete.
    Complete,
    /// Tokens before the event are missing and must be requested again.
    MissingTokens,
}

/// Reads one generation.
pub struct Relay {
    client: engine::Client,
    instruments: Instruments,
    engine: Arc<document::Engine>,
    cursor: Cursor,
    parser: sse::Parser,
    body: fair::Body<hyper::body::Incoming>,
    /// Whether the last delivered token was the last one of the generation.
    finished: bool,
    /// Whether the connection resumed the stream and no event has arrived on it yet.
    just_resumed: bool,
    /// Whether to reconnect before the next read.
    needs_reconnect: bool,
    /// Reconnections since the last token.
    reconnections: u32,
    timer: Timer,
}

impl Relay {
    /// A relay for `stream`, which belongs to `attempt` at `engine` and starts at token index `next`.
    pub fn new(
        client: engine::Client,
        instruments: Instruments,
        engine: Arc<document::Engine>,
        stream: engine::Stream,
        attempt: Uuid,
        next: u64,
    ) -> Self {
        Self {
            client,
            instruments,
            engine,
            cursor: Cursor::new(stream.generation, attempt, next),
            parser: sse::Parser::new(),
            body: stream.body,
            finished: false,
            just_resumed: next > 0,
            needs_reconnect: false,
            reconnections: 0,
            timer: Timer::new(next == 0),
        }
    }

    /// Sets the histograms for token times; `requested_at` is the time at which the request arrived.
    #[must_use]
    pub fn with_histograms(mut self, histograms: metrics::Stream, requested_at: Instant) -> Self {
        self.timer.histograms = Some(histograms);
        self.timer.last_token = requested_at;
        self
    }

    /// The id of the generation.
    pub fn generation(&self) -> Uuid {
        self.cursor.generation()
    }

    /// Index of the next token.
    pub fn next(&self) -> u64 {
        self.cursor.next()
    }

    /// The engine that runs the generation.
    pub fn engine(&self) -> &Arc<document::Engine> {
        &self.engine
    }

    /// Waits for at least one token and writes all received tokens to `sink`.
    ///
    /// # Errors
    ///
    /// Returns an [`Interruption`] as soon as it is known that the generation cannot be continued.
    pub async fn read_tokens(&mut self, sink: &mut impl Sink) -> Result<Progress, Interruption> {
        let before = self.cursor.next();
        loop {
            let end = self.process_events(sink)?;
            let count = self.cursor.next() - before;
            if count > 0 {
                self.timer.record(count);
                self.reconnections = 0;
            }
            match end {
                End::Complete => return Ok(Progress::Complete),
                End::MissingTokens if count == 0 => Box::pin(self.reconnect_limited()).await?,
                // Forward the received tokens before the missing ones are requested again.
                End::MissingTokens => {
                    self.needs_reconnect = true;
                    return Ok(Progress::Incomplete);
                }
                End::NeedBytes if count > 0 => return Ok(Progress::Incomplete),
                End::NeedBytes => self.read_frame().await?,
            }
        }
    }

    /// Processes received events until none is complete, the generation is complete or tokens are missing.
    fn process_events(&mut self, sink: &mut impl Sink) -> Result<End, Interruption> {
        while let Some(event) = self.parser.next_event().map_err(|_| Interruption::Malformed)? {
            match self.process_event(&event, sink)? {
                Disposition::Token { last } => self.finished = last,
                Disposition::Dropped => {}
                Disposition::Complete => return Ok(End::Complete),
                Disposition::MissingTokens => return Ok(End::MissingTokens),
            }
        }
        Ok(End::NeedBytes)
    }

    fn process_event(
        &mut self,
        event: &sse::Event,
        sink: &mut impl Sink,
    ) -> Result<Disposition, Interruption> {
        if event.kind.as_deref() == Some(b"error") {
            return Err(parse_interruption(&event.data));
        }
        if &event.data[..] == b"[DONE]" {
            // This event does not name a generation: if the last token is missing, it may belong to another stream.
            // As the first event of a resumed connection, it belongs to this generation.
            let is_complete = self.finished || self.just_resumed;
            return Ok(if is_complete {
                Disposition::Complete
            } else {
                Disposition::MissingTokens
            });
        }
        self.just_resumed = false;
        let chunk = serde_json::from_slice::<engine::Chunk<'_>>(&event.data);
        let index = event.id.as_deref().and_then(parse_index);
        let (Ok(chunk), Some(index)) = (chunk, index) else {
            return Ok(self.drop_event("malformed"));
        };
        match self.cursor.accept(index, &chunk) {
            Decision::Deliver => {
                sink.write_token(self.cursor.next(), &event.data, &chunk);
                Ok(Disposition::Token { last: chunk.choices[0].finish_reason.is_some() })
            }
            Decision::Duplicate => Ok(self.drop_event("late")),
            Decision::Mismatched => Ok(self.drop_event("crossed")),
            Decision::Gap => Ok(Disposition::MissingTokens),
        }
    }

    fn drop_event(&self, reason: &str) -> Disposition {
        self.instruments.dropped.with_label_values(&[reason]).inc();
        Disposition::Dropped
    }

    /// Reads the next frame into the parser, or reconnects if tokens are missing or the connection is broken or idle.
    async fn read_frame(&mut self) -> Result<(), Interruption> {
        if std::mem::take(&mut self.needs_reconnect) {
            return Box::pin(self.reconnect_limited()).await;
        }
        let Ok(frame) = tokio::time::timeout(IDLE_TIMEOUT, self.body.frame()).await else {
            // Not counted as a broken connection: a stream may be idle for long while its generation is preempted.
            return match self.has_begun() {
                true => Box::pin(self.outlast_silence()).await,
                false => Box::pin(self.reconnect()).await,
            };
        };
        self.push_frame(frame).await
    }

    /// Passes a frame to the parser, or reconnects if there is none.
    async fn push_frame(
        &mut self,
        frame: Option<hyper::Result<Frame<Bytes>>>,
    ) -> Result<(), Interruption> {
        let Some(Ok(frame)) = frame else { return Box::pin(self.reconnect_limited()).await };
        if let Some(data) = frame.data_ref() {
            self.parser.push(data);
        }
        Ok(())
    }

    /// Requests the stream again while frames are still awaited on the connection that is open. Stays with that connection
    /// if the engine does not respond on another one either.
    async fn outlast_silence(&mut self) -> Result<(), Interruption> {
        let (client, generation, next) =
            (self.client.clone(), self.generation(), self.cursor.next());
        let frame = tokio::select! {
            biased;
            frame = self.body.frame() => frame,
            resumed = client.resume(self.engine.address, generation, next) => {
                return match resumed {
                    Ok(stream) => {
                        self.use_stream(stream);
                        Ok(())
                    }
                    Err(engine::Error::UnknownGeneration) => Err(Interruption::UnknownGeneration),
                    Err(_) => Ok(()),
                };
            }
        };
        self.push_frame(frame).await
    }

    /// Reads the events of `stream` from now on.
    fn use_stream(&mut self, stream: engine::Stream) {
        self.body = stream.body;
        self.parser = sse::Parser::new();
        self.just_resumed = true;
        self.instruments.count_action("reconnected");
    }

    /// Reconnects, at most [`MAX_RECONNECTIONS`] times without a token. Callers box the future, so that a stream does
    /// not reserve space for a rare case.
    async fn reconnect_limited(&mut self) -> Result<(), Interruption> {
        self.reconnections += 1;
        if self.reconnections > MAX_RECONNECTIONS {
            return Err(Interruption::Malformed);
        }
        self.reconnect().await
    }

    /// Requests the stream from the engine again, starting at the next token.
    async fn reconnect(&mut self) -> Result<(), Interruption> {
        for delay in RECONNECT_DELAYS {
            tokio::time::sleep(delay).await;
            match self.resume().await {
                Ok(stream) => {
                    self.use_stream(stream);
                    return Ok(());
                }
                Err(engine::Error::UnknownGeneration) => {
                    return Err(Interruption::UnknownGeneration);
                }
                Err(_) => {}
            }
        }
        Err(Interruption::Unreachable)
    }

    /// Whether tokens were delivered, so that no other engine can take over.
    fn has_begun(&self) -> bool {
        self.cursor.next() > 0
    }

    /// Requests the stream until the engine responds or cannot be reached. One that accepts connections and does not respond
    /// may go on, but another engine can begin the stream if none has.
    async fn resume(&self) -> Result<engine::Stream, engine::Error> {
        loop {
            let (generation, next) = (self.generation(), self.cursor.next());
            match self.client.resume(self.engine.address, generation, next).await {
                Err(engine::Error::Silent) if self.has_begun() => {}
                result => return result,
            }
        }
    }
}

/// Why the processing of received events ended.
enum End {
    /// More bytes are needed: no complete event remains.
    NeedBytes,
    /// The generation is complete.
    Complete,
    /// Tokens are missing and must be requested again.
    MissingTokens,
}

fn parse_index(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}

fn parse_interruption(data: &[u8]) -> Interruption {
    match engine::error_type(data).as_deref() {
        Some("cancelled") => Interruption::Cancelled,
        Some("reclaimed") => Interruption::Reclaimed,
        _ => Interruption::Failed,
    }
}

/// Measures the times between the tokens of a stream.
struct Timer {
    histograms: Option<metrics::Stream>,
    /// Time of the last token, or of the request if there is none yet.
    last_token: Instant,
    longest_gap: Duration,
    awaits_first: bool,
}

impl Timer {
    /// `awaits_first` is true if the next token is the first one of the stream.
    fn new(awaits_first: bool) -> Self {
        Self {
            histograms: None,
            last_token: Instant::now(),
            longest_gap: Duration::ZERO,
            awaits_first,
        }
    }

    /// Records `count` tokens that arrived together.
    fn record(&mut self, count: u64) {
        let now = Instant::now();
        let gap = now - std::mem::replace(&mut self.last_token, now);
        self.longest_gap = self.longest_gap.max(gap);
        let Some(histograms) = &self.histograms else { return };
        histograms.tokens.inc_by(count);
        if std::mem::replace(&mut self.awaits_first, false) {
            histograms.first_token.observe(gap.as_secs_f64());
        } else {
            histograms.between_tokens.observe(gap.as_secs_f64());
        }
        for _ in 1..count {
            histograms.between_tokens.observe(0.0);
        }
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let (Some(histograms), false) = (&self.histograms, self.awaits_first) {
            histograms.stall.observe(self.longest_gap.as_secs_f64());
        }
    }
}
