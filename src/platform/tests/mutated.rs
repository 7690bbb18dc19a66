//! Guards against input from outside that ends the process: mutations of valid input must be decoded or rejected.

use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};

use super::{DOCUMENT, ENTRY, SETTINGS};
use crate::directory::Directory;
use crate::entry::request::Head;
use crate::mutation::check;
use crate::platform::store::parse_read;
use crate::platform::{configuration, headers, registry, settings};
use crate::rate::Pace;
use crate::{hosts, sse};

#[test]
fn documents() {
    check(vec![DOCUMENT.as_bytes().to_vec()], |bytes| {
        if let Ok(parsed) = configuration::parse(&bytes) {
            parsed.table.find("a.example", "/p/x");
        }
    });
}

#[test]
fn settings_files() {
    check(vec![SETTINGS.as_bytes().to_vec()], |bytes| {
        let _ = settings::parse(&String::from_utf8_lossy(&bytes), 9_464);
    });
}

#[test]
fn registry_entries() {
    let longest = ENTRY.replace("\"cold_left_ms\":0", "\"cold_left_ms\":1e300");
    check(vec![ENTRY.as_bytes().to_vec(), longest.into_bytes()], |bytes| {
        let Ok(entry) = registry::parse("i-1", &bytes) else { return };
        let mut directory = Directory::default();
        directory.put(entry, 1_000);
    });
}

#[test]
fn reads_of_the_store() {
    let record = [&[0, 0, 0, 8, 3][..], b"key", b"text"].concat();
    let read = [&7_u64.to_be_bytes()[..], &[0; 8], &record, &record].concat();
    check(vec![read], |bytes| {
        let _ = parse_read(bytes.into(), 5);
    });
}

/// The headers of `bytes`, a line for each.
fn header_lines(bytes: &[u8]) -> HeaderMap {
    let lines = bytes.split(|byte| *byte == b'\n').filter_map(|line| {
        let colon = line.iter().position(|byte| *byte == b':')?;
        let name = HeaderName::from_bytes(&line[..colon]).ok()?;
        Some((name, HeaderValue::from_bytes(&line[colon + 1..]).ok()?))
    });
    lines.collect()
}

#[test]
fn heads_of_requests() {
    let lines = "host:a.example\nnutmeghead-request-id:9c41\nnutmeghead-deadline-ms:6000\n\
         nutmeghead-tokens:1460,80\nauthorization:Bearer k-1\nnutmeghead-prefix-hash:a:100,b:2\n\
         connection:close, x-other\nresumes:9c40\nlast-event-id:4\n";
    check(vec![lines.as_bytes().to_vec()], |bytes| {
        let mut parts = Request::new(()).into_parts().0;
        parts.headers = header_lines(&bytes);
        headers::forwarded(&parts.headers);
        let Ok(head) = Head::try_from(&parts) else { return };
        if let Some(prompt) = head.prompt {
            prompt.is_short();
            prompt.reserved_tokens();
        }
    });
}

#[test]
fn heads_of_responses() {
    let lines = "nutmeghead-stamp:i-1\nnutmeghead-request-id:9c41\nserver-limit:3.5\n\
         server-brittle:6\nretry-after:0.5\nserver-leaving:1\nnutmeghead-not-run:1\n";
    let id = HeaderValue::from_static("9c41");
    for status in [200, 503] {
        check(vec![lines.as_bytes().to_vec()], |bytes| {
            let mut head = Response::new(()).into_parts().0;
            head.headers = header_lines(&bytes);
            head.status = status.try_into().unwrap();
            let checks = headers::reply(&head, &id);
            let mut pace = Pace::new();
            pace.observe(checks.limit, 999, 1_000);
            pace.take(1_000);
        });
    }
}

#[test]
fn event_streams() {
    let events = b"id: 1\ndata: {\"x\":1}\n\nevent: e\r\nid: 2\r\ndata: y\r\n\r\n: c\n\nid: 3\n\n";
    check(vec![events.to_vec()], |bytes| {
        let mut splitter = sse::Splitter::new(Some("1".into()));
        let mut parser = sse::Parser::new();
        for chunk in bytes.chunks(7) {
            let _ = splitter.push(chunk);
            parser.push(chunk);
            while let Ok(Some(_)) = parser.next_event() {}
        }
        let _ = splitter.finish();
    });
}

#[test]
fn host_lists() {
    let list = br#"{"hosts":[{"name":"e-1","kind":"engine","state":"leaving"},{"name":"h","kind":"x","state":"y"}]}"#;
    check(vec![list.to_vec()], |bytes| {
        let _ = hosts::parse(&bytes);
    });
}
