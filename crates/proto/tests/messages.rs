//! Tests of the codec: messages split at any byte, limits, and rejected messages.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

use chalkyard_proto::*;
use proptest::prelude::*;

fn decode_all(side: Side, pieces: &[&[u8]], close: bool) -> Result<Vec<Part>, Reason> {
    let mut d = Decoder::new(side, Limits::default());
    let mut parts: Vec<Part> = Vec::new();
    let drain = |d: &mut Decoder, parts: &mut Vec<Part>| -> Result<(), Reason> {
        while let Some(p) = d.next_part().map_err(|e| e.reason)? {
            match (parts.last_mut(), p) {
                (Some(Part::Data(a)), Part::Data(b)) => a.extend(b),
                (_, p) => parts.push(p),
            }
        }
        Ok(())
    };
    for p in pieces {
        d.push(p);
        drain(&mut d, &mut parts)?;
    }
    if close {
        d.close();
        drain(&mut d, &mut parts)?;
    }
    Ok(parts)
}

fn rejection(text: &str) -> Reason {
    match decode_all(Side::Request, &[text.as_bytes()], true) {
        Err(r) => r,
        Ok(parts) => panic!("accepted: {parts:?}"),
    }
}

#[test]
fn ambiguous_or_malformed_messages_are_rejected_with_their_reason() {
    let rejection_with =
        |headers: &str| rejection(&format!("POST /x HTTP/1.1\r\nHost: a\r\n{headers}\r\n\r\n"));
    assert_eq!(rejection_with("Content-Length: 3\r\nTransfer-Encoding: chunked"), Reason::ConflictingLengths);
    assert_eq!(rejection_with("Content-Length: 3\r\nContent-Length: 4"), Reason::DuplicateLength);
    assert_eq!(rejection_with("Content-Length: 3\r\nContent-Length: 3"), Reason::DuplicateLength);
    assert_eq!(rejection_with("Content-Length: +3"), Reason::InvalidLength);
    assert_eq!(rejection_with("Content-Length: 3, 3"), Reason::InvalidLength);
    assert_eq!(rejection_with("Content-Length:"), Reason::InvalidLength);
    assert_eq!(rejection_with("Content-Length: 99999999999999999999"), Reason::InvalidLength);
    assert_eq!(rejection_with("Content-Length: 1048577"), Reason::BodyTooLong);
    assert_eq!(rejection_with("Transfer-Encoding: gzip, chunked"), Reason::UnsupportedEncoding);
    assert_eq!(
        rejection_with("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
        Reason::UnsupportedEncoding
    );
    assert_eq!(rejection_with("A: b\r\n c"), Reason::FoldedHeader);
    assert_eq!(rejection_with("A: b\nC: d"), Reason::BareLineEnd);
    assert_eq!(rejection_with("A: b\rC: d"), Reason::BareLineEnd);
    assert_eq!(rejection_with("A\0: b"), Reason::NulByte);
    assert_eq!(rejection_with("A : b"), Reason::Malformed);
    assert_eq!(rejection_with("Host: b"), Reason::InvalidHost);
    assert_eq!(rejection_with("Expect: bread"), Reason::UnsupportedExpectation);
    assert_eq!(rejection_with("Content-Length: 3"), Reason::Truncated);
    assert_eq!(rejection("GET / HTTP/1.1\r\n\r\n"), Reason::InvalidHost);
    assert_eq!(rejection("\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"), Reason::Malformed);
    assert_eq!(
        rejection("GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"),
        Reason::UnsupportedEncoding
    );
    let chunked = |body: &str| {
        rejection(&format!("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{body}"))
    };
    for body in [
        "x\r\n",
        "-1\r\n",
        "0x1\r\na\r\n",
        "1;e=1\r\na\r\n",
        "\r\n",
        "1\na\r\n",
        "1\r\nab\r\n",
        "11111111111111111\r\n",
    ] {
        assert_eq!(chunked(body), Reason::InvalidChunk, "{body:?}");
    }
    assert_eq!(chunked("0\r\nA: b\r\n\r\n"), Reason::InvalidTrailers);
    assert_eq!(chunked("fffffff\r\n"), Reason::ChunkTooLong);
}

#[test]
fn limits_apply_before_a_message_is_complete() {
    let long = |n: usize| "a".repeat(n);
    assert_eq!(rejection(&format!("GET /{}", long(2_048))), Reason::StartLineTooLong);
    assert_eq!(rejection(&format!("GET / HTTP/1.1\r\nHost: {}", long(17_000))), Reason::HeadTooLong);
    let many = "A: b\r\n".repeat(MAX_HEADERS);
    assert_eq!(rejection(&format!("GET / HTTP/1.1\r\nHost: a\r\n{many}\r\n")), Reason::TooManyHeaders);
    let mut d = Decoder::new(Side::Request, Limits::default());
    d.push(&vec![b'a'; 64 * 1024]);
    assert!(!d.is_over_pipeline_limit());
    d.push(b"a");
    assert!(d.is_over_pipeline_limit(), "no more should be read");
    assert_eq!(d.buffered(), 64 * 1024 + 1, "bytes above the limit are buffered");
    assert!(d.next_part().is_err());
    d.push(&vec![b'a'; 70_000]);
    assert_eq!(d.buffered(), 0, "the buffer is empty after an error");
}

#[test]
fn responses_end_by_length_chunks_or_close_and_interim_ones_are_skipped() {
    let text =
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nabHTTP/1.1 204 No\r\n\r\n";
    let parts = decode_all(Side::Response, &[text], true).unwrap();
    assert_eq!(parts.iter().filter(|p| matches!(p, Part::End)).count(), 2);
    assert!(parts.contains(&Part::Data(b"ab".to_vec())));
    let open = decode_all(Side::Response, &[b"HTTP/1.1 200 OK\r\n\r\nrest"], true).unwrap();
    assert_eq!(open.last(), Some(&Part::End));
    let cut =
        decode_all(Side::Response, &[b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nab"], true);
    assert_eq!(cut, Err(Reason::Truncated));
}

#[test]
fn events_with_any_line_end_are_parsed() {
    let mut out = Vec::new();
    let mut r = sse::Parser::new(100);
    r.push(b"\xef\xbb\xbfevent: a\rdata: 1\r\ndata:2\n\n: comment\n\nid: 7\ndata\n\n", &mut out).unwrap();
    let (one, two) = (&out[0], &out[1]);
    assert_eq!((one.name.as_str(), one.data.as_str()), ("a", "1\n2"));
    assert_eq!((two.id.as_str(), two.data.as_str()), ("7", ""));
    assert!(sse::Parser::new(10).push(b"data: 0123456789", &mut out).is_err());
    let mut many = sse::Parser::new(10);
    assert!(many.push(b"data: abc\ndata: abc\ndata: abc\n", &mut out).is_err());
}

fn cut(bytes: &[u8], at: &[prop::sample::Index]) -> Vec<Vec<u8>> {
    let mut cuts: Vec<usize> = at.iter().map(|i| i.index(bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    cuts.windows(2).map(|w| bytes[w[0]..w[1]].to_vec()).collect()
}

proptest! {
    #[test]
    fn bytes_split_anywhere_give_the_same_messages(
        bodies in prop::collection::vec((prop::collection::vec(any::<u8>(), 0..200), any::<bool>()), 1..4),
        at in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let mut bytes = Vec::new();
        for (body, chunked) in &bodies {
            if *chunked {
                bytes.extend_from_slice(b"POST /v HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n");
                for piece in body.chunks(7) {
                    encode::chunk(&mut bytes, piece);
                }
                bytes.extend_from_slice(encode::LAST_CHUNK);
            } else {
                bytes.extend(encode::request("POST", "/v", "h", &[("a", "b")], body));
            }
        }
        let unsplit = decode_all(Side::Request, &[&bytes], true).unwrap();
        let pieces = cut(&bytes, &at);
        let split: Vec<&[u8]> = pieces.iter().map(Vec::as_slice).collect();
        prop_assert_eq!(&unsplit, &decode_all(Side::Request, &split, true).unwrap());
        let sent: Vec<u8> = bodies.iter().flat_map(|(b, _)| b.clone()).collect();
        let got: Vec<u8> = unsplit.iter().flat_map(|p| match p { Part::Data(d) => d.clone(), _ => vec![] }).collect();
        prop_assert_eq!(sent, got);
    }

    #[test]
    fn arbitrary_bytes_split_anywhere_give_the_same_result(
        seed in prop::collection::vec(prop_oneof![
            Just(b"GET / HTTP/1.1\r\n".to_vec()), Just(b"Host: a\r\n".to_vec()), Just(b"\r\n".to_vec()),
            Just(b"Content-Length: 5\r\n".to_vec()), Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
            Just(b"5\r\nabcde\r\n".to_vec()), Just(b"0\r\n\r\n".to_vec()), Just(b"HTTP/1.1 200 OK\r\n".to_vec()),
            prop::collection::vec(any::<u8>(), 0..6),
        ], 0..12),
        at in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
        response in any::<bool>(),
    ) {
        let bytes: Vec<u8> = seed.concat();
        let side = if response { Side::Response } else { Side::Request };
        let pieces = cut(&bytes, &at);
        let split: Vec<&[u8]> = pieces.iter().map(Vec::as_slice).collect();
        prop_assert_eq!(decode_all(side, &[&bytes], true), decode_all(side, &split, true));
    }

    #[test]
    fn event_streams_split_anywhere_give_the_same_events(
        events in prop::collection::vec(("[a-z]{0,6}", "[ -~\n]{0,40}"), 0..6),
        at in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let mut bytes = Vec::new();
        for (i, (name, data)) in events.iter().enumerate() {
            sse::write(&mut bytes, name, Some(i as u64), data);
        }
        let mut got = Vec::new();
        let mut reader = sse::Parser::new(4_096);
        for piece in cut(&bytes, &at) {
            reader.push(&piece, &mut got).unwrap();
        }
        let got: Vec<(String, String)> = got.into_iter().map(|e| (e.name, e.data)).collect();
        prop_assert_eq!(events, got);
    }
}

proptest! {
    #[test]
    fn arbitrary_input_is_buffered_within_the_limit(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..3_000), 0..40),
        start in prop_oneof![Just(&b""[..]), Just(&b"GET / HTTP/1.1\r\nHost: "[..]),
            Just(&b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"[..]),
            Just(&b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"[..])],
    ) {
        let limits = Limits::default();
        let mut d = Decoder::new(Side::Request, limits);
        d.push(start);
        for piece in &pieces {
            d.push(piece);
            while let Ok(Some(_)) = d.next_part() {}
            // After decoding, the buffer has at most an incomplete head.
            prop_assert!(d.buffered() <= limits.head_bytes);
        }
    }
}
