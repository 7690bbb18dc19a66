//! The lines of entry hosts that tell what became of a request.

use serde::Deserialize;

/// What a line tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub(super) enum Event {
    #[serde(rename = "server chosen")]
    Chosen,
    #[serde(rename = "migration started")]
    MigrationStarted,
    #[serde(rename = "KV cache copy finished")]
    Copied,
    #[serde(rename = "continuation attempt finished")]
    Continued,
    #[serde(rename = "stream ended")]
    StreamEnded,
    #[serde(rename = "request finished")]
    Finished,
}

/// The fields of a line that the account uses.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Line {
    #[serde(rename = "msg")]
    pub(super) event: Event,
    request: String,
    ts: String,
    pub(super) route: Option<String>,
    pub(super) outcome: Option<String>,
    #[serde(default, rename = "stream")]
    pub(super) is_stream: bool,
    pub(super) ms: Option<u64>,
    pub(super) objective_ms: Option<u64>,
    pub(super) max_pause_ms: Option<u64>,
    pub(super) first_event_ms: Option<u64>,
    pub(super) longest_pause_ms: Option<u64>,
    /// Second of the line, from its time.
    #[serde(skip)]
    pub(super) second: u64,
}

/// The request and the line; `None` if the line is not about a request, or is a copy or an attempt that failed.
pub(super) fn parse(text: &str) -> Option<(String, Line)> {
    let mut line: Line = serde_json::from_str(text.get(text.find('{')?..)?).ok()?;
    let is_done = match line.event {
        Event::Copied => line.outcome.as_deref() == Some("copied"),
        Event::Continued => line.outcome.as_deref() == Some("ok"),
        _ => true,
    };
    line.second = second_of_day(&line.ts)?;
    is_done.then(|| (line.request.clone(), line))
}

/// The second of the day of an RFC 3339 time.
fn second_of_day(time: &str) -> Option<u64> {
    let mut parts = time.get(11..19)?.split(':').map(|part| part.parse::<u64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    Some(hours * 3_600 + minutes * 60 + seconds)
}
