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
        loop {
            let newline = self.scanned + memchr::memchr(b'\n', &self.buffer[self.scanned..])?;
            match &self.buffer[newline + 1..] {
                [b'\n', ..] => return Some(newline + 2),
                [b'\r', b'\n', ..] => return Some(newline + 3),
                [] | [b'\r'] => {
                    self.scanned = newline;
                    return None;
                }
                _ => self.scanned = newline + 1,
            }
        }
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
