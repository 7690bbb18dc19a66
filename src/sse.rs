//! Server-sent events, read incrementally.

use bytes::{Bytes, BytesMut};

#[cfg(test)]
mod tests;

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Why the bytes are not a stream of events.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    Large,
}

/// One event. Of fields given several times the last one counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The field `id`.
    pub id: Option<Bytes>,
    /// The field `event`.
    pub kind: Option<Bytes>,
    /// The field `data`.
    pub data: Bytes,
}

/// Cuts bytes into events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    scanned: usize,
}

impl Parser {
    /// A parser without bytes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next bytes of the stream.
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

    /// The next whole event, or `None` until more bytes come.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Large`] if the unfinished event is too large; the stream is unusable then.
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
            return Err(Error::Large);
        }
        Ok(None)
    }

    /// Finds the end of the first block, which is behind an empty line.
    fn find_end(&mut self) -> Option<usize> {
        match find_end(&self.buffer, self.scanned) {
            Ok(end) => Some(end),
            Err(scanned) => {
                self.scanned = scanned;
                None
            }
        }
    }
}

/// Finds the end of the first block of `bytes`, which is behind an empty line. What lies before `scanned` has none. Fails
/// with the place from which to search once more bytes came.
fn find_end(bytes: &[u8], mut scanned: usize) -> Result<usize, usize> {
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

/// Cuts bytes into runs of whole events without taking them apart, so that they can be passed on unchanged.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<Bytes>,
    passed: u64,
}

impl Splitter {
    /// A splitter that goes on after the event with id `last_id`.
    pub fn new(last_id: Option<Bytes>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Number of whole events that were passed on.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// Id of the last whole event that had one.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Takes the next bytes of the stream and returns all whole events that were not passed on before. Events whose id
    /// is a number no larger than the last one are repeats and are left out.
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
    /// Returns [`Error::Large`] if an unfinished event is too large; the stream is unusable then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        let mut skip = 0;
        while let Ok(length) = find_end(&self.buffer[end..], 0) {
            let event = Bytes::copy_from_slice(&self.buffer[end..end + length]);
            end += length;
            let Some(id) = parse(&event).id else { continue };
            if is_repeat(&id, self.last_id.as_ref()) {
                // Repeats come at the beginning, right after a stream was taken up again.
                skip = end;
            } else {
                self.passed += 1;
                self.last_id = Some(id);
            }
        }
        if self.buffer.len() - end > MAX_EVENT_BYTES {
            return Err(Error::Large);
        }
        Ok(self.buffer.split_to(end).freeze().slice(skip..))
    }

    /// What is left when the stream has ended.
    pub fn rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

fn is_repeat(id: &Bytes, last: Option<&Bytes>) -> bool {
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
