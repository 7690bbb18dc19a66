//! Incremental parsing of server-sent events: [`Parser`] decodes them, [`Splitter`] forwards their bytes unchanged.

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
}

/// The stream ended inside an event.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
#[error("the stream ended inside an event")]
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
        let Some(newline) = memchr::memchr(b'\n', &bytes[scanned..]) else { return Err(scanned) };
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
    last_id: Option<Bytes>,
    forwarded_events: u64,
    complete_events: u64,
}

impl Splitter {
    /// A splitter that continues after the event with id `last_id`.
    pub fn new(last_id: Option<Bytes>) -> Self {
        Self { last_id, ..Self::default() }
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

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Appends the next bytes of the stream and returns all complete events that were not yet returned. An event whose
    /// id is a number not above the last id is a duplicate and is omitted.
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
    /// Returns [`Error::TooLarge`] if an incomplete event is too large; the splitter cannot be used after that.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        let mut duplicates_end = 0;
        while let Ok(length) = find_event_end(&self.buffer[end..], 0) {
            let event = Bytes::copy_from_slice(&self.buffer[end..end + length]);
            end += length;
            let event = parse(&event);
            self.complete_events += u64::from(event != Event::default());
            let Some(id) = event.id else { continue };
            if is_duplicate(&id, self.last_id.as_ref()) {
                // Duplicates occur only at the start, right after a stream was resumed.
                duplicates_end = end;
            } else {
                self.forwarded_events += 1;
                self.last_id = Some(id);
            }
        }
        if self.buffer.len() - end > MAX_EVENT_BYTES {
            return Err(Error::TooLarge);
        }
        Ok(self.buffer.split_to(end).freeze().slice(duplicates_end..))
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
    /// Returns [`UnfinishedEvent`] if the stream ended inside an event, so that it is not complete.
    pub fn finish(&mut self) -> Result<Bytes, UnfinishedEvent> {
        if self.buffer.iter().any(|byte| !b"\r\n".contains(byte)) {
            return Err(UnfinishedEvent);
        }
        Ok(self.buffer.split().freeze())
    }
}

fn is_duplicate(id: &Bytes, last: Option<&Bytes>) -> bool {
    let number = |id: &Bytes| std::str::from_utf8(id).ok()?.parse::<u64>().ok();
    match (number(id), last.and_then(number)) {
        (Some(id), Some(last)) => id <= last,
        _ => false,
    }
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
