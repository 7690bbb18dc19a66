//! Reads a generation from its engine, through broken connections, until it is whole.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use uuid::Uuid;

use crate::metrics::Instruments;
use crate::stream::{Cursor, Verdict};
use crate::{document, engine, metrics, sse};

/// Time without bytes after which the engine is asked for the stream again on a new connection.
const SILENCE: Duration = Duration::from_secs(5);

/// Pauses before each new try to reach an engine whose stream broke.
const RECONNECT_PAUSES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(100), Duration::from_millis(300)];

/// Connections that may break one after the other without a token between them.
const MAX_RECONNECTIONS: u32 = 5;

/// Why a generation cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Interruption {
    /// The engine cancelled it.
    #[error("the engine cancelled the generation")]
    Cancelled,
    /// The engine was reclaimed.
    #[error("the engine was reclaimed")]
    Reclaimed,
    /// The engine reports a fault of its own.
    #[error("the engine failed")]
    Failed,
    /// The engine has forgotten the generation.
    #[error("the engine does not know the generation any more")]
    Forgotten,
    /// The engine cannot be reached.
    #[error("the engine cannot be reached")]
    Unreachable,
    /// The engine's events cannot be read.
    #[error("the engine gives malformed events")]
    Malformed,
}

/// Whether more tokens follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More follow.
    Open,
    /// The generation is whole.
    Whole,
}

/// Takes the tokens of a generation in order.
pub trait Sink: Send {
    /// Takes the token before index `next`, with the event's JSON.
    fn token(&mut self, next: u64, data: &Bytes, chunk: &engine::Chunk<'_>);
}

enum Judgement {
    Token { last: bool },
    Dropped,
    Whole,
    Broken,
}

/// A generation being read.
pub struct Relay {
    client: engine::Client,
    instruments: Instruments,
    engine: Arc<document::Engine>,
    cursor: Cursor,
    parser: sse::Parser,
    body: hyper::body::Incoming,
    /// Whether the last delivered token ended the generation.
    finished: bool,
    /// Whether the connection was opened by resuming and has brought no event yet.
    fresh: bool,
    /// Whether the connection must be opened again before more is read.
    is_broken: bool,
    /// Reconnections since the last token.
    reconnections: u32,
    clock: Clock,
}

impl Relay {
    /// Reads `stream`, which is attempt `request` at `engine`, from token index `next`.
    pub fn new(
        client: engine::Client,
        instruments: Instruments,
        engine: Arc<document::Engine>,
        stream: engine::Stream,
        request: Uuid,
        next: u64,
    ) -> Self {
        Self {
            client,
            instruments,
            engine,
            cursor: Cursor::new(stream.generation, request, next),
            parser: sse::Parser::new(),
            body: stream.body,
            finished: false,
            fresh: next > 0,
            is_broken: false,
            reconnections: 0,
            clock: Clock::new(next == 0),
        }
    }

    /// Sets the histograms that the tokens' times go to; `asked` is when the request came.
    #[must_use]
    pub fn with_times(mut self, times: metrics::Stream, asked: Instant) -> Self {
        self.clock.times = Some(times);
        self.clock.last = asked;
        self
    }

    /// The generation.
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

    /// Waits for at least one token and gives `sink` all that have come.
    ///
    /// # Errors
    ///
    /// Returns an [`Interruption`] as soon as it is known that the generation cannot go on.
    pub async fn fill(&mut self, sink: &mut impl Sink) -> Result<Progress, Interruption> {
        let before = self.cursor.next();
        loop {
            let drained = self.drain(sink)?;
            let count = self.cursor.next() - before;
            if count > 0 {
                self.clock.tokens(count);
                self.reconnections = 0;
            }
            match drained {
                Drained::Whole => return Ok(Progress::Whole),
                Drained::Broken if count == 0 => Box::pin(self.reconnect_bounded()).await?,
                // Tokens that have come are handed on before the engine is asked for those that are missing.
                Drained::Broken => {
                    self.is_broken = true;
                    return Ok(Progress::Open);
                }
                Drained::Empty if count > 0 => return Ok(Progress::Open),
                Drained::Empty => self.read().await?,
            }
        }
    }

    /// Judges all events that have come.
    fn drain(&mut self, sink: &mut impl Sink) -> Result<Drained, Interruption> {
        while let Some(event) = self.parser.next_event().map_err(|_| Interruption::Malformed)? {
            match self.judge(&event, sink)? {
                Judgement::Token { last } => self.finished = last,
                Judgement::Dropped => {}
                Judgement::Whole => return Ok(Drained::Whole),
                Judgement::Broken => return Ok(Drained::Broken),
            }
        }
        Ok(Drained::Empty)
    }

    fn judge(
        &mut self,
        event: &sse::Event,
        sink: &mut impl Sink,
    ) -> Result<Judgement, Interruption> {
        if event.kind.as_deref() == Some(b"error") {
            return Err(interruption(&event.data));
        }
        if &event.data[..] == b"[DONE]" {
            // The end names no generation, so without a last token it may be another stream's. An end that comes first
            // on a resumed connection is this generation's own.
            let whole = self.finished || self.fresh;
            return Ok(if whole { Judgement::Whole } else { Judgement::Broken });
        }
        self.fresh = false;
        let chunk = serde_json::from_slice::<engine::Chunk<'_>>(&event.data);
        let index = event.id.as_deref().and_then(parse_index);
        let (Ok(chunk), Some(index)) = (chunk, index) else {
            return Ok(self.dropped("malformed"));
        };
        match self.cursor.accept(index, &chunk) {
            Verdict::Deliver => {
                sink.token(self.cursor.next(), &event.data, &chunk);
                Ok(Judgement::Token { last: chunk.choices[0].finish_reason.is_some() })
            }
            Verdict::Late => Ok(self.dropped("late")),
            Verdict::Crossed => Ok(self.dropped("crossed")),
            Verdict::Gap => Ok(Judgement::Broken),
        }
    }

    fn dropped(&self, reason: &str) -> Judgement {
        self.instruments.dropped.with_label_values(&[reason]).inc();
        Judgement::Dropped
    }

    async fn read(&mut self) -> Result<(), Interruption> {
        if std::mem::take(&mut self.is_broken) {
            return Box::pin(self.reconnect_bounded()).await;
        }
        match tokio::time::timeout(SILENCE, self.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.parser.push(data);
                }
                Ok(())
            }
            Ok(Some(Err(_)) | None) => Box::pin(self.reconnect_bounded()).await,
            // A stream may be silent for long while its generation is preempted.
            Err(_) => Box::pin(self.reconnect()).await,
        }
    }

    /// Boxed by its callers, so that a stream does not keep room for what it seldom does.
    async fn reconnect_bounded(&mut self) -> Result<(), Interruption> {
        self.reconnections += 1;
        if self.reconnections > MAX_RECONNECTIONS {
            return Err(Interruption::Malformed);
        }
        self.reconnect().await
    }

    /// Asks the engine for the stream again, from the next token.
    async fn reconnect(&mut self) -> Result<(), Interruption> {
        for pause in RECONNECT_PAUSES {
            tokio::time::sleep(pause).await;
            let next = self.cursor.next();
            match self.client.resume(self.engine.address, self.generation(), next).await {
                Ok(stream) => {
                    self.body = stream.body;
                    self.parser = sse::Parser::new();
                    self.fresh = true;
                    self.instruments.count_action("reconnected");
                    return Ok(());
                }
                Err(engine::Error::Unknown) => return Err(Interruption::Forgotten),
                Err(_) => {}
            }
        }
        Err(Interruption::Unreachable)
    }
}

enum Drained {
    Empty,
    Whole,
    Broken,
}

fn parse_index(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}

fn interruption(data: &[u8]) -> Interruption {
    match engine::fault(data).as_deref() {
        Some("cancelled") => Interruption::Cancelled,
        Some("reclaimed") => Interruption::Reclaimed,
        _ => Interruption::Failed,
    }
}

/// Times the tokens of a stream.
struct Clock {
    times: Option<metrics::Stream>,
    last: Instant,
    longest: Duration,
    first: bool,
}

impl Clock {
    /// `first` says whether the next token is the stream's first one.
    fn new(first: bool) -> Self {
        Self { times: None, last: Instant::now(), longest: Duration::ZERO, first }
    }

    /// `count` tokens came together.
    fn tokens(&mut self, count: u64) {
        let now = Instant::now();
        let gap = now - std::mem::replace(&mut self.last, now);
        self.longest = self.longest.max(gap);
        let Some(times) = &self.times else { return };
        times.tokens.inc_by(count);
        if std::mem::replace(&mut self.first, false) {
            times.first_token.observe(gap.as_secs_f64());
        } else {
            times.between_tokens.observe(gap.as_secs_f64());
        }
        for _ in 1..count {
            times.between_tokens.observe(0.0);
        }
    }
}

impl Drop for Clock {
    fn drop(&mut self) {
        if let (Some(times), false) = (&self.times, self.first) {
            times.stall.observe(self.longest.as_secs_f64());
        }
    }
}
