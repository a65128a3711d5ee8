//! Parses a request from the `X-*` headers of its head.

use chalkyard_adapter::translate::NameIndex;
use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_proto::Head;

/// The header with the idempotency key, named as the IETF draft does.
pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Maximum length of a request id, session, prefix or idempotency key.
const MAX_NAME_BYTES: usize = 128;
/// Cap on the timeout that a client sets; the deadlines of classes are far below it.
const MAX_TIMEOUT: Micros = Micros(3_600_000_000);
/// Maximum token count that is accepted; it is above what the KV memory of any worker holds.
const MAX_TOKENS: u64 = 1 << 32;

/// An invalid request head. The text of the error is sent to the client.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum HeadError {
    /// A required header is missing.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// A header that must not be repeated is there more than once.
    #[error("{0}: more than one")]
    Duplicate(&'static str),
    /// The value is empty, too long, or contains anything but visible ASCII characters.
    #[error("{0}: not one word of at most {MAX_NAME_BYTES} characters")]
    NotOneWord(&'static str),
    /// The id has characters that are not safe in a URL path; the release call has the id in its path.
    #[error("X-Request-ID: only letters, digits, `-`, `_` and `.`")]
    RequestId,
    /// The settings have no class of this name.
    #[error("X-Priority-Class: no such class")]
    UnknownClass,
    /// The settings have no tenant of this name.
    #[error("X-Tenant-Id: no such tenant")]
    UnknownTenant,
    /// The timeout is not a decimal number with the unit `m` or `u`.
    #[error("X-Timeout: not a number with `m` or `u`")]
    Timeout,
    /// An attribute is not a `name=value` pair.
    #[error("X-Attrs: not name=value")]
    AttributePair,
    /// The value of this attribute is not a number of at most [`MAX_TOKENS`].
    #[error("X-Attrs: `{0}` is no number of tokens")]
    AttributeTokens(String),
}

/// Returns the value of an optional header that must not be repeated.
fn optional<'a>(head: &'a Head, name: &'static str) -> Result<Option<&'a str>, HeadError> {
    let lower_case = name.to_ascii_lowercase();
    match head.count(&lower_case) {
        0 => Ok(None),
        1 => Ok(head.header(&lower_case)),
        _ => Err(HeadError::Duplicate(name)),
    }
}

/// Returns the value of a required header that must not be repeated.
fn required<'a>(head: &'a Head, name: &'static str) -> Result<&'a str, HeadError> {
    optional(head, name)?.ok_or(HeadError::Missing(name))
}

/// Checks that a value is 1 to [`MAX_NAME_BYTES`] visible ASCII characters.
fn check_word<'a>(name: &'static str, value: &'a str) -> Result<&'a str, HeadError> {
    let is_word = (1..=MAX_NAME_BYTES).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_graphic());
    is_word.then_some(value).ok_or(HeadError::NotOneWord(name))
}

/// Checks a request id, which becomes part of the path of the release call.
fn check_request_id(value: &str) -> Result<&str, HeadError> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let word = check_word("X-Request-ID", value)?;
    word.bytes().all(is_allowed).then_some(word).ok_or(HeadError::RequestId)
}

/// Parses a number with a unit, `m` for milliseconds or `u` for microseconds, capped at [`MAX_TIMEOUT`].
pub(crate) fn parse_timeout(value: &str) -> Option<Micros> {
    let (digits, unit) = match value.strip_suffix('m') {
        Some(digits) => (digits, 1_000),
        None => (value.strip_suffix('u')?, 1),
    };
    let number = parse_digits(digits)?;
    Some(Micros(number.saturating_mul(unit)).min(MAX_TIMEOUT))
}

/// Parses a number of decimal digits only, without sign or spaces.
fn parse_digits(digits: &str) -> Option<u64> {
    let is_decimal = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    digits.parse().ok().filter(|_| is_decimal)
}

/// The attributes in `X-Attrs` that the policy uses.
#[derive(Debug, Default)]
struct Attributes<'a> {
    /// Id of the prefix that the prompt shares with other prompts.
    prefix: Option<&'a str>,
    prompt_tokens: Option<u64>,
    max_output: Option<u64>,
}

fn parse_attributes(value: &str) -> Result<Attributes<'_>, HeadError> {
    let mut attributes = Attributes::default();
    for pair in value.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or(HeadError::AttributePair)?;
        let tokens = || {
            let number = parse_digits(value).filter(|number| *number <= MAX_TOKENS);
            number.ok_or_else(|| HeadError::AttributeTokens(name.to_owned()))
        };
        match name {
            "prefix" if value.is_empty() || value == "0" => {}
            "prefix" => attributes.prefix = Some(check_word("X-Attrs: prefix", value)?),
            "prompt_len" => attributes.prompt_tokens = Some(tokens()?),
            "max_out" => attributes.max_output = Some(tokens()?),
            // Attributes that the policy does not use are not checked.
            _ => {}
        }
    }
    Ok(attributes)
}

/// Bytes per token in the platform's estimate of a prompt's length.
const BYTES_PER_TOKEN: u64 = 4;

/// Parses the key by which workers discard repeats of a request. It is forwarded unchanged.
pub(crate) fn parse_idempotency_key(head: &Head) -> Result<Option<String>, HeadError> {
    let key = optional(head, IDEMPOTENCY_KEY)?;
    key.map(|key| check_word(IDEMPOTENCY_KEY, key).map(str::to_owned)).transpose()
}

/// Parses the tenant. It is required if the settings have tenants, and ignored otherwise.
fn parse_tenant(names: &NameIndex, head: &Head) -> Result<Option<p::TenantId>, HeadError> {
    const HEADER: &str = "X-Tenant-Id";
    match optional(head, HEADER)? {
        Some(name) if names.has_tenants() => names.tenant(name).map(Some).ok_or(HeadError::UnknownTenant),
        None if names.has_tenants() => Err(HeadError::Missing(HEADER)),
        _ => Ok(None),
    }
}

/// Parses a request whose first byte arrived at `arrived_at`. The prompt's length is estimated from `body_bytes` if the
/// head has no `prompt_len`.
pub(crate) fn parse_request(
    names: &NameIndex,
    arrived_at: Micros,
    head: &Head,
    body_bytes: u64,
) -> Result<p::Request, HeadError> {
    let id = check_request_id(required(head, "X-Request-ID")?)?;
    let class = names.class(required(head, "X-Priority-Class")?).ok_or(HeadError::UnknownClass)?;
    let tenant = parse_tenant(names, head)?;
    let session = optional(head, "X-Route-Key")?.filter(|key| !key.is_empty() && *key != "0");
    let session = session.map(|key| check_word("X-Route-Key", key)).transpose()?;
    let timeout = parse_timeout(required(head, "X-Timeout")?).ok_or(HeadError::Timeout)?;
    let attributes = optional(head, "X-Attrs")?.map(parse_attributes).transpose()?.unwrap_or_default();
    Ok(p::Request {
        id: id.into(),
        class,
        tenant,
        session: session.map(Into::into),
        prefix: attributes.prefix.map(Into::into),
        prompt_tokens: attributes.prompt_tokens.unwrap_or(body_bytes / BYTES_PER_TOKEN),
        max_output_tokens: attributes.max_output.unwrap_or(0),
        deadline: arrived_at + timeout,
        resumed: optional(head, "X-Retried")?.is_some_and(|v| v.eq_ignore_ascii_case("again")),
    })
}
