use super::*;

#[test]
fn leaving_engines_and_servers_are_listed() {
    let list = br#"{"hosts":[
        {"name":"n-1","kind":"entry","address":"127.0.0.1:1","domain":"a","state":"leaving"},
        {"name":"e-1","kind":"engine","address":"127.0.0.1:2","domain":"a","state":"leaving"},
        {"name":"e-2","kind":"engine","address":"127.0.0.1:3","domain":"a","state":"live"},
        {"name":"s-1","kind":"server","address":"127.0.0.1:4","domain":"a","state":"leaving"},
        {"name":"x-1","kind":"other","address":"127.0.0.1:4","domain":"a","state":"unheard-of"}
    ]}"#;

    let leaving = parse(list).unwrap();

    let names = ["n-1", "e-1", "e-2", "s-1", "x-1"];
    assert_eq!(names.map(|name| leaving.contains(name)), [false, true, false, true, false]);
}

#[test]
fn malformed_lists_are_rejected() {
    for body in ["", "{}", r#"{"hosts":{}}"#, r#"{"hosts":[{"name":"a"]}"#, "[1]"] {
        assert_eq!(parse(body.as_bytes()), Err(Error::Malformed), "{body}");
    }
}

#[test]
fn a_malformed_host_does_not_affect_the_others() {
    let nested = format!(r#"{{"name":{0}{1}}}"#, "[".repeat(100_000), "]".repeat(100_000));
    let odd: [&[u8]; 10] = [
        nested.as_bytes(),
        br#"{"name":"a","kind":"engine","state":1e400}"#,
        br#"{"name":1e400,"kind":"engine","state":"leaving","address":"127.0.0.1:65536"}"#,
        b"null",
        b"{}",
        br#"{"name":"a"}"#,
        br#"{"name":7,"kind":"engine","state":"leaving"}"#,
        br#"{"name":"a","kind":null,"state":"leaving"}"#,
        br#"{"name":"a","kind":"engine","state":{}}"#,
        b"{\"name\":[\"\xff\"]}",
    ];
    for host in odd {
        let leaving = br#"{"name":"e-1","kind":"engine","state":"leaving"}"#;
        let list = [&br#"{"hosts":["#[..], host, b",", leaving, b",", host, b"]}"].concat();

        let leaving = parse(&list).unwrap();

        assert_eq!(["e-1", "a"].map(|name| leaving.contains(name)), [true, false], "{host:?}");
    }
}
