//! Parsing of request heads.

use hookworks_http_server::{Framing, MAX_HEAD, parse};

fn status(text: &str) -> u16 {
    parse(text.as_bytes()).map_or_else(|a| a.status, |_| 0)
}

#[test]
fn ambiguous_heads_are_refused() {
    let post = |fields: &str| format!("POST /v2/runs HTTP/1.1\r\n{fields}\r\n\r\n");
    let refused = [
        ("Content-Length: 3\r\nTransfer-Encoding: chunked", 400),
        ("Content-Length: 3\r\nContent-Length: 4", 400),
        ("Content-Length: +3", 400),
        ("Content-Length: 3, 3", 400),
        ("Content-Length: 65537", 413),
        ("Content-Length: 99999999999999999999999", 413),
        ("Transfer-Encoding: gzip, chunked", 501),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            400,
        ),
        ("Expect: a-cake", 417),
        ("Bad Name: x", 400),
    ];
    for (fields, expected) in refused {
        assert_eq!(status(&post(fields)), expected, "{fields}");
    }
    for text in [
        "GET / HTTP/2.0\r\n\r\n",
        "\0\0\0\0\r\n\r\n",
        "GET /\r\n\r\n",
        "G@T / HTTP/1.1\r\n\r\n",
    ] {
        assert_eq!(status(text), 400, "{text:?}");
    }
    assert_eq!(status(&post(&"A: b\r\n".repeat(65))), 431);
    assert_eq!(
        status(&format!("GET /{} HTTP/1.1\r\n", "x".repeat(MAX_HEAD))),
        431
    );
}

#[test]
fn valid_heads_are_parsed() {
    let text = "POST http://10.0.0.1:80/v2/runs?x=1 HTTP/1.1\r\nhost: a\r\nCONTENT-length:  12 \r\nexpect: 100-Continue\r\n\r\n{}";
    let (h, n) = parse(text.as_bytes()).unwrap().unwrap();
    assert_eq!(
        (h.path.as_str(), h.framing),
        ("/v2/runs", Framing::Length(12))
    );
    assert!(h.expects_continue && h.keep_alive);
    assert_eq!(n, text.len() - 2);
    let keep = |t: &str| parse(t.as_bytes()).unwrap().unwrap().0.keep_alive;
    assert!(!keep("GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n"));
    assert!(!keep("GET / HTTP/1.0\r\n\r\n"));
    assert!(keep("GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n"));
}
