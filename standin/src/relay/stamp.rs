//! Extracts send timestamps from the bytes of a stream.

/// Parses timestamps of the form `@DIGITS`, which may be split across chunks.
#[derive(Debug, Default)]
pub(super) struct Scanner {
    /// Value of the digits parsed so far of an incomplete timestamp.
    partial: Option<u64>,
}

impl Scanner {
    /// Appends the timestamps that end in this chunk.
    pub(super) fn scan(&mut self, mut chunk: &[u8], timestamps: &mut Vec<u64>) {
        loop {
            let Some(mut value) = self.partial else {
                let Some(at) = chunk.iter().position(|byte| *byte == b'@') else {
                    return;
                };
                self.partial = Some(0);
                chunk = &chunk[at + 1..];
                continue;
            };
            let digits = chunk.iter().take_while(|byte| byte.is_ascii_digit()).count();
            for digit in &chunk[..digits] {
                value = value.wrapping_mul(10).wrapping_add(u64::from(digit - b'0'));
            }
            if digits == chunk.len() {
                self.partial = Some(value);
                return;
            }
            timestamps.push(value);
            self.partial = None;
            chunk = &chunk[digits..];
        }
    }
}
