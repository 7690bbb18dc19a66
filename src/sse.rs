//! Incremental parsing of server-sent events: [`Parser`] decodes them, [`Splitter`] forwards their bytes unchanged.

use std::ops::Range;

use bytes::{Bytes, BytesMut};

#[cfg(test)]
mod tests;

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Why a byte stream cannot be parsed as events.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The stream does not continue after the last event.
    #[error("the stream does not continue after the last event")]
    NotContinued,
}

/// The stream ended inside an event, or before the first one that continues it.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
#[error("the stream ended inside an event, or before the first one")]
pub struct UnfinishedEvent;

/// One event. If a field occurs several times, the last value is used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The field `id`.
    pub id: Option<Bytes>,
    /// The field `event`.
    pub kind: Option<Bytes>,
    /// The field `data`.
    pub data: Bytes,
}

/// Parses a byte stream into events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    scanned: usize,
}

impl Parser {
    /// A parser at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends the next bytes of the stream.
    ///
    /// ```
    /// use nutmeghead::sse::Parser;
    /// let mut parser = Parser::new();
    /// parser.push(b"id: 7\ndata: x\n\n");
    /// assert_eq!(parser.next_event()?.map(|event| event.data), Some("x".into()));
    /// # Ok::<(), nutmeghead::sse::Error>(())
    /// ```
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if the incomplete event is too large; the parser cannot be used after that.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        while let Some(end) = self.find_end() {
            let block = self.buffer.split_to(end).freeze();
            self.scanned = 0;
            let event = parse(&block);
            if event != Event::default() {
                return Ok(Some(event));
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Error::TooLarge);
        }
        Ok(None)
    }

    /// Finds the end of the first block, including its empty line.
    fn find_end(&mut self) -> Option<usize> {
        match find_event_end(&self.buffer, self.scanned) {
            Ok(end) => Some(end),
            Err(scanned) => {
                self.scanned = scanned;
                None
            }
        }
    }
}

/// Finds the end of the first block of `bytes`, including its empty line. No block ends before `scanned`, where the
/// search starts. On failure, returns the position from which to continue once more bytes have arrived.
fn find_event_end(bytes: &[u8], mut scanned: usize) -> Result<usize, usize> {
    loop {
        let Some(newline) = memchr::memchr(b'\n', &bytes[scanned..]) else {
            return Err(bytes.len());
        };
        let newline = scanned + newline;
        match &bytes[newline + 1..] {
            [b'\n', ..] => return Ok(newline + 2),
            [b'\r', b'\n', ..] => return Ok(newline + 3),
            [] | [b'\r'] => return Err(newline),
            _ => scanned = newline + 1,
        }
    }
}

/// Splits a byte stream at event boundaries, so that complete events can be forwarded unchanged.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// The incomplete event ends nowhere before this position.
    scanned: usize,
    last_id: Option<Bytes>,
    forwarded_events: u64,
    complete_events: u64,
    /// Whether the first event has to continue after `last_id`.
    awaits_continuation: bool,
    /// By how much the ids rose so far.
    step: Step,
}

/// By how much the ids of a stream rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Step {
    /// Fewer than two events had ids.
    #[default]
    Unknown,
    /// Each id was the one before plus 1.
    One,
    /// Others.
    Other,
}

impl Splitter {
    /// A splitter that continues after the event with id `last_id`.
    pub fn new(last_id: Option<Bytes>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// A splitter for another response, which has to continue after the last event of this one: its first event that is no
    /// duplicate has the next id. Without an id so far, it may begin in any way.
    ///
    /// ```
    /// use nutmeghead::sse::{Error, Splitter};
    /// let mut first = Splitter::default();
    /// first.push(b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n")?;
    /// assert_eq!(first.continuing().push(b"id: 3\ndata: z\n\n")?, "id: 3\ndata: z\n\n");
    /// assert_eq!(first.continuing().push(b"event: error\n\n"), Err(Error::NotContinued));
    /// # Ok::<(), Error>(())
    /// ```
    #[must_use]
    pub fn continuing(&self) -> Self {
        let awaits_continuation = self.last_id.is_some();
        Self { awaits_continuation, step: self.step, ..Self::new(self.last_id.clone()) }
    }

    /// Number of events with an id that were forwarded, without duplicates.
    pub fn forwarded_events(&self) -> u64 {
        self.forwarded_events
    }

    /// Number of complete events, with or without an id. Comments are not events.
    pub fn complete_events(&self) -> u64 {
        self.complete_events
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn unfinished_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether another response can continue after the last event: there was none yet, or one had an id.
    pub fn can_continue(&self) -> bool {
        self.last_id.is_some() || self.complete_events == 0
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Appends the next bytes of the stream and returns all complete events that were not yet returned. An event whose
    /// id is a number not above the last id is a duplicate and is omitted, and so is what precedes the first event of a
    /// continuation and is no event.
    ///
    /// ```
    /// let mut splitter = nutmeghead::sse::Splitter::new(Some("7".into()));
    /// let events = splitter.push(b"id: 7\ndata: x\n\nid: 8\ndata: y\n\nid: 9\n")?;
    /// assert_eq!(events, "id: 8\ndata: y\n\n");
    /// # Ok::<(), nutmeghead::sse::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if an incomplete event is too large, and [`Error::NotContinued`] if the first event of a
    /// continuation is not the next one; the splitter cannot be used after that.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        self.buffer.extend_from_slice(bytes);
        let mut start = 0;
        let mut omitted = Vec::new();
        self.scanned = loop {
            let end = match find_event_end(&self.buffer[start..], self.scanned) {
                Ok(length) => start + length,
                Err(scanned) => break scanned,
            };
            let block = Bytes::copy_from_slice(&self.buffer[start..end]);
            if !self.accept(&block)? {
                omitted.push(start..end);
            }
            (start, self.scanned) = (end, 0);
        };
        if self.buffer.len() - start > MAX_EVENT_BYTES {
            return Err(Error::TooLarge);
        }
        Ok(without(self.buffer.split_to(start).freeze(), &omitted))
    }

    /// Decides on a complete block. Returns whether it is forwarded.
    fn accept(&mut self, block: &Bytes) -> Result<bool, Error> {
        let event = parse(block);
        self.complete_events += u64::from(event != Event::default());
        let Some(id) = event.id else {
            if self.awaits_continuation && !is_ignored(block) {
                return Err(Error::NotContinued);
            }
            return Ok(!self.awaits_continuation);
        };
        if is_duplicate(&id, self.last_id.as_ref()) {
            return Ok(false);
        }
        let follows = follows(&id, self.last_id.as_ref());
        if std::mem::take(&mut self.awaits_continuation) {
            let is_text = number(&id).is_none();
            let had_number = self.last_id.as_ref().and_then(number).is_some();
            if (is_text && had_number) || (self.step == Step::One && !follows) {
                return Err(Error::NotContinued);
            }
        }
        self.step = match (self.step, &self.last_id) {
            (_, None) => Step::Unknown,
            (Step::Unknown | Step::One, Some(_)) if follows => Step::One,
            _ => Step::Other,
        };
        self.forwarded_events += 1;
        self.last_id = Some(id);
        Ok(true)
    }

    /// Returns the empty lines that follow the last event when the stream has ended.
    ///
    /// ```
    /// use nutmeghead::sse::{Splitter, UnfinishedEvent};
    /// let mut splitter = Splitter::default();
    /// splitter.push(b"id: 1\ndata: x\n\nid: 2\nda")?;
    /// assert_eq!(splitter.finish(), Err(UnfinishedEvent));
    /// # Ok::<(), nutmeghead::sse::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns [`UnfinishedEvent`] if the stream ended inside an event, or if a continuation has none, so that it is not
    /// complete.
    pub fn finish(&mut self) -> Result<Bytes, UnfinishedEvent> {
        if self.awaits_continuation || self.buffer.iter().any(|byte| !b"\r\n".contains(byte)) {
            return Err(UnfinishedEvent);
        }
        self.scanned = 0;
        Ok(self.buffer.split().freeze())
    }
}

fn number(id: &Bytes) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}

fn is_duplicate(id: &Bytes, last: Option<&Bytes>) -> bool {
    match (number(id), last.and_then(number)) {
        (Some(id), Some(last)) => id <= last,
        _ => false,
    }
}

/// Whether `id` is the number after `last`.
fn follows(id: &Bytes, last: Option<&Bytes>) -> bool {
    let next = last.and_then(number).and_then(|last| last.checked_add(1));
    next.is_some() && number(id) == next
}

/// Whether readers of events ignore a block, apart from the time until they reconnect: it has comments only.
fn is_ignored(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]) || line.starts_with(b"retry:"))
}

/// `bytes` without the ranges `omitted`, which are in order.
fn without(bytes: Bytes, omitted: &[Range<usize>]) -> Bytes {
    let Some(last) = omitted.last() else { return bytes };
    let length: usize = omitted.iter().map(Range::len).sum();
    if last.end == length {
        return bytes.slice(length..);
    }
    let mut kept = BytesMut::with_capacity(bytes.len() - length);
    let mut start = 0;
    for range in omitted {
        kept.extend_from_slice(&bytes[start..range.start]);
        start = range.end;
    }
    kept.extend_from_slice(&bytes[start..]);
    kept.freeze()
}

fn parse(block: &Bytes) -> Event {
    let mut event = Event::default();
    let mut start = 0;
    for end in memchr::memchr_iter(b'\n', block) {
        let line = block.slice(start..end);
        start = end + 1;
        let line = if line.ends_with(b"\r") { line.slice(..line.len() - 1) } else { line };
        let Some(colon) = memchr::memchr(b':', &line) else { continue };
        let skip = usize::from(line.get(colon + 1) == Some(&b' '));
        let value = line.slice(colon + 1 + skip..);
        match &line[..colon] {
            b"id" => event.id = Some(value),
            b"event" => event.kind = Some(value),
            b"data" => event.data = value,
            _ => {}
        }
    }
    event
}
