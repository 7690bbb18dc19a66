//! The record of a case: what was sent, answered and run, with times.

use std::fs::File;
use std::io::{self, Write as _};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
