//! Minimal HTTP/1.1: heads, bodies with a length, in chunks or until the end of the connection.

use std::io::{self, Read};
use std::net::TcpStream;

/// A start line and headers. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Reader {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(socket: TcpStream) -> Self {
        Self { socket, buffer: Vec::new() }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let length = self.socket.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length > 0)
    }

    /// The next head; `None` if the connection ended before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(k, v)| (k.trim().to_ascii_lowercase(), v.trim().to_owned()));
        Ok(Some(Head { start, headers: headers.collect() }))
    }

    /// Takes `length` bytes.
    pub fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body; what arrived is kept in `body` if it breaks off.
    pub fn body(&mut self, head: &Head, to_end: bool, body: &mut Vec<u8>) -> io::Result<()> {
        if head.get("transfer-encoding").is_some() {
            loop {
                let line = self.line()?;
                let length = line.split(';').next().unwrap_or_default().trim();
                let length = usize::from_str_radix(length, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if length == 0 {
                    self.line()?;
                    return Ok(());
                }
                let part = self.take(length)?;
                body.extend_from_slice(&part);
                self.take(2)?;
            }
        }
        if let Some(length) = head.get("content-length") {
            let length: usize = length.parse().unwrap_or(0);
            while self.buffer.len() < length {
                match self.fill() {
                    Ok(true) => {}
                    other => {
                        body.append(&mut self.buffer);
                        other?;
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
            }
            body.extend(self.buffer.drain(..length));
            return Ok(());
        }
        if to_end {
            while self.fill()? {}
            body.append(&mut self.buffer);
        }
        Ok(())
    }
}
