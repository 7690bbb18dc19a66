//! Finds the times of sending in the bytes of a stream.

/// Reads stamps of the form `@DIGITS`, also when they are split over pieces.
#[derive(Debug, Default)]
pub(super) struct Scanner {
    /// The digits read so far of a stamp that has begun.
    partial: Option<u64>,
}

impl Scanner {
    /// Appends the stamps that end in this piece.
    pub(super) fn scan(&mut self, mut piece: &[u8], stamps: &mut Vec<u64>) {
        loop {
            let Some(mut value) = self.partial else {
                let Some(at) = piece.iter().position(|byte| *byte == b'@') else {
                    return;
                };
                self.partial = Some(0);
                piece = &piece[at + 1..];
                continue;
            };
            let digits = piece.iter().take_while(|byte| byte.is_ascii_digit()).count();
            for digit in &piece[..digits] {
                value = value.wrapping_mul(10).wrapping_add(u64::from(digit - b'0'));
            }
            if digits == piece.len() {
                self.partial = Some(value);
                return;
            }
            stamps.push(value);
            self.partial = None;
            piece = &piece[digits..];
        }
    }
}
