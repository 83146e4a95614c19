use super::message::MAX_HEADERS;
use super::*;

fn decode_request(text: &str) -> Result<Option<Message<RequestLine>>, HttpError> {
    let mut decoder = Decoder::new();
    decoder.feed(text.as_bytes());
    decoder.next()
}

#[test]
fn decoded_messages_do_not_depend_on_split() {
    let text = "POST /a?b=1 HTTP/1.1\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n\
                3\r\nabc\r\n2;x=1\r\nde\r\n0\r\nT: u\r\n\r\nGET /up HTTP/1.0\r\n\r\n";
    for part_length in 1..text.len() {
        let (mut decoder, mut decoded) = (Decoder::<RequestLine>::new(), Vec::new());
        for part in text.as_bytes().chunks(part_length) {
            decoder.feed(part);
            while let Some(message) = decoder.next().unwrap() {
                decoded.push((message.line.method, message.line.target, message.body, message.keep_alive));
            }
        }
        assert_eq!(
            decoded[0],
            ("POST".into(), "/a?b=1".into(), b"abcde".to_vec(), true),
            "part length {part_length}"
        );
        assert_eq!(decoded[1], ("GET".into(), "/up".into(), Vec::new(), false), "part length {part_length}");
        assert!(decoded.len() == 2 && decoder.is_empty());
    }
}

#[test]
fn invalid_request_gives_error_status() {
    let long_head = format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(MAX_HEAD));
    let many_headers = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(MAX_HEADERS + 1));
    let cases = [
        ("nonsense\r\n\r\n", 400),
        ("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        ("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        ("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        ("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        ("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", 413),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
        (&long_head, 431),
        (&many_headers, 431),
    ];
    for (text, status) in cases {
        assert_eq!(decode_request(text).err(), Some(HttpError(status)), "{text:.60}");
    }
}

#[test]
fn response_without_length_ends_with_connection() {
    let mut decoder = Decoder::<StatusLine>::new();
    decoder.feed(b"HTTP/1.1 200 OK\r\n\r\nab");
    assert!(decoder.next().unwrap().is_none());
    let message = decoder.finish().unwrap();
    assert_eq!((message.body.as_slice(), message.keep_alive), (&b"ab"[..], false));
    decoder.feed(b"HTTP/1.1 204 No\r\n\r\n");
    assert!(decoder.next().unwrap().unwrap().keep_alive);
}

#[test]
fn decoded_chunks_of_an_incomplete_body_are_held_once() {
    // Guards against the bytes of a chunk that stay in the buffer beside the body until the next ones arrive.
    const CHUNK_BYTES: usize = 60_000;
    let mut decoder: Decoder<RequestLine> = Decoder::new();
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    decoder.feed(format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}").as_bytes());
    assert!(decoder.next().unwrap().is_none());
    let held = decoder.held_bytes();
    assert!((CHUNK_BYTES..CHUNK_BYTES + 8 * 1024).contains(&held), "{held} bytes");
    decoder.feed(b"0\r\n\r\n");
    assert_eq!(decoder.next().unwrap().map(|message| message.body.len()), Some(CHUNK_BYTES));
}
