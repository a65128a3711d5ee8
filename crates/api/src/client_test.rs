//! Tests of `client`.
#![allow(clippy::unwrap_used)]
use super::*;
use crate::tokens;

fn rejection(body: &str) -> (String, String) {
    let r = MessagesRequest::parse(body.as_bytes(), &RequestLimits::default()).unwrap_err();
    (r.field, r.reason)
}

#[test]
fn valid_request_is_parsed_and_its_prompt_begins_with_the_system_text() {
    let body = r#"{"model":"m","system":"You help.","max_tokens":9,"stream":true,
        "messages":[{"role":"user","content":[{"type":"text","text":"Hello"}]}],
        "metadata":{"class":"help","session":"s1","deadline_ms":900,"retry":true}}"#;
    let r = MessagesRequest::parse(body.as_bytes(), &RequestLimits::default()).unwrap();
    assert!(r.prompt.get().starts_with(r#""You help.\n\nuser: Hello\n"#));
    assert_eq!((r.max_tokens, r.stream, r.retry, r.deadline_ms), (9, true, true, Some(900)));
    assert_eq!(r.prefix.unwrap().1, 3);
    assert!(r.prompt_tokens > 4);
}

#[test]
fn text_with_special_characters_reaches_the_prompt_unchanged() {
    let text = "\"quoted\" \\ back\nline\u{1}\u{7f} Grüezi \u{2028}";
    let body = serde_json::json!({"model": "m", "system": text, "messages": [
        {"role": "user", "content": [{"type": "text", "text": text}, {"type": "text", "text": "b"}]},
        {"role": "assistant", "content": text}, {"role": "user", "content": "plain"}]});
    let r = MessagesRequest::parse(body.to_string().as_bytes(), &RequestLimits::default()).unwrap();
    let prompt: String = serde_json::from_str(r.prompt.get()).unwrap();
    assert_eq!(prompt, format!("{text}\n\nuser: {text}b\nassistant: {text}\nuser: plain\nassistant: "));
    assert_eq!(
        r.prompt_tokens,
        tokens::estimate(&prompt),
        "the sum over the pieces equals the estimate of the complete prompt"
    );
}

#[test]
fn invalid_request_is_rejected_with_field_and_reason() {
    let user = r#"[{"role":"user","content":"x"}]"#;
    let cases = [
        ("{", "body", "EOF"),
        (r#"{"model":"m"}"#, "body", "missing field `messages`"),
        (r#"{"model":"m","messages":[{"role":"user","content":7}]}"#, "messages[0].content", "did not match"),
        (r#"{"model":"m","messages":[{"role":"king","content":"x"}]}"#, "messages[0].role", "king"),
        (r#"{"model":"m","messages":[]}"#, "messages", "1 to"),
        (r#"{"model":"m","messages":[{"role":"assistant","content":"x"}]}"#, "messages[0].role", "last"),
    ];
    for (body, field, reason) in cases {
        let (f, r) = rejection(body);
        assert!(f == field && r.contains(reason), "{body}: {f}: {r}");
    }
    let extra = [
        (r#""model":"m","max_tokens":0"#, "max_tokens"),
        (r#""model":"m","max_tokens":"many""#, "max_tokens"),
        (r#""model":"m","max_tokens":-1"#, "max_tokens"),
        (r#""model":"m m""#, "model"),
        (r#""model":"m","model":"m""#, "model"),
        (r#""model":"m","metadata":{"session":""}"#, "metadata.session"),
        (r#""model":"m","metadata":{"deadline_ms":0}"#, "metadata.deadline_ms"),
        (r#""model":"m","temperature":3"#, "temperature"),
        (r#""model":"m","tempreature":1"#, "tempreature"),
    ];
    for (fields, field) in extra {
        let (f, r) = rejection(&format!("{{{fields},\"messages\":{user}}}"));
        assert!(f == field || r.contains(field), "{fields}: {f}: {r}");
    }
}

#[test]
fn idempotency_keys_quoted_or_bare_are_accepted_within_their_length() {
    assert_eq!(parse_idempotency_key("\"k-1\"").unwrap(), "k-1");
    assert_eq!(parse_idempotency_key("k-1").unwrap(), "k-1");
    assert!(parse_idempotency_key("\"\"").is_err());
    assert!(parse_idempotency_key(&"k".repeat(MAX_NAME_BYTES + 1)).is_err());
}
