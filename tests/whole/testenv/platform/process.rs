//! The process of an entry host: its settings, signals, memory and log.

use std::io::Read as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{MutexGuard, PoisonError};

use serde_json::Value;
use standin::platform::Host;

use super::Platform;
use crate::testenv::{self, WAIT_TIMEOUT};

impl Platform {
    fn settings_path(&self) -> PathBuf {
        self.directory.path().join("settings.toml")
    }

    /// Writes the settings file and starts the entry host.
    pub fn spawn(&self) {
        let host = Host {
            name: self.host_name,
            caller_address: self.caller_address,
            readiness_address: self.readiness_address,
            peer_port: self.peer_port,
            store_address: self.store.address(),
        };
        let mut text =
            host.settings().replace("region = \"r\"", &format!("region = \"{}\"", self.region));
        text = text.replace("max_fds = 2000", &format!("max_fds = {}", self.max_fds));
        let strict = format!("[bounds]\nstrict_revoke = {}", self.strict_revocation);
        text = text.replace("[bounds]", &strict);
        if let Some(memory_mb) = self.memory_mb {
            text = text.replace("[limits]", &format!("[limits]\nmemory_mb = {memory_mb}"));
        }
        if !self.zones.is_empty() {
            text += "[zones]\n";
        }
        for (domain, region) in self.zones {
            text += &format!("{domain} = \"{region}\"\n");
        }
        std::fs::write(self.settings_path(), text).expect("the settings are written");
        let mut log = std::fs::OpenOptions::new();
        let log = log.create(true).append(true);
        let log = log.open(self.directory.path().join("log")).expect("a log file");
        let limit = self.max_fds.to_string();
        let program = env!("CARGO_BIN_EXE_nutmeghead");
        let child = Command::new("sh")
            .args(["-c", "ulimit -n \"$0\" && exec \"$@\"", &limit, program])
            .args(["entry", "--metrics-port", &self.metrics.port().to_string()])
            .env("NUTMEGHEAD_SETTINGS", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log)
            .spawn();
        *self.child() = Some(child.expect("the entry host starts"));
    }

    /// Sends the signal of this name, such as `TERM`, to the entry host.
    pub fn signal(&self, signal: &str) {
        let pid = self.child().as_ref().expect("the entry host runs").id().to_string();
        let status = Command::new("kill").args([format!("-{signal}"), pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// The largest memory that the entry host has used so far, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        testenv::peak_memory_mb(self.child().as_ref().expect("the entry host runs").id())
    }

    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Kills the entry host, if it runs.
    pub fn kill(&self) {
        if let Some(mut child) = self.child().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the entry host to exit and returns whether it exited with status 0.
    pub async fn exited_successfully(&self) -> bool {
        let mut child = self.child().take().expect("the entry host runs");
        let wait = tokio::task::spawn_blocking(move || child.wait());
        let status = tokio::time::timeout(WAIT_TIMEOUT, wait).await.expect("the entry host exits");
        status.expect("joined").expect("waited").success()
    }

    /// Log lines with this message that the entry host has written so far.
    pub fn log_lines(&self, message: &str) -> Vec<Value> {
        self.log().into_iter().filter(|line| line["msg"] == message).collect()
    }

    /// Log lines about the request with this id, to show why an assertion failed.
    pub fn log_of(&self, request: &str) -> Vec<Value> {
        self.log().into_iter().filter(|line| line["request"] == request).collect()
    }

    fn log(&self) -> Vec<Value> {
        let mut text = String::new();
        let file = std::fs::File::open(self.directory.path().join("log"));
        file.expect("a log").read_to_string(&mut text).expect("the log is text");
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.kill();
    }
}
