//! Reads a request from the `X-*` headers of a client's head.

use chalkyard_adapter::translate::NameIndex;
use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_proto::Head;

/// The header with the idempotency key, named as the IETF draft does.
pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Longest id, session, prefix or idempotency key.
const NAME_BYTES: usize = 128;
/// Longest timeout that a client may set; the deadlines of classes are far below it.
const MAX_TIMEOUT: Micros = Micros(3_600_000_000);
/// More tokens than any memory holds.
const MAX_TOKENS: u64 = 1 << 32;

/// A head that is no valid request. The text goes to the client.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum HeadError {
    /// A required header is missing.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// A header that may come once came more often.
    #[error("{0}: more than one")]
    Duplicate(&'static str),
    /// The value is empty, too long, or more than one word.
    #[error("{0}: not one word of at most {NAME_BYTES} characters")]
    NotOneWord(&'static str),
    /// The id could not stand in the path of a call.
    #[error("X-Request-ID: only letters, digits, `-`, `_` and `.`")]
    RequestId,
    /// The class is not in the settings.
    #[error("X-Priority-Class: no such class")]
    UnknownClass,
    /// The tenant is not in the settings.
    #[error("X-Tenant-Id: no such tenant")]
    UnknownTenant,
    /// The timeout is no number with a unit.
    #[error("X-Timeout: not a number with `m` or `u`")]
    Timeout,
    /// An attribute is no pair.
    #[error("X-Attrs: not name=value")]
    AttributePair,
    /// The value of this attribute is no number of tokens.
    #[error("X-Attrs: `{0}` is no number of tokens")]
    AttributeTokens(String),
}

/// The value of a header that may come once.
fn one<'a>(head: &'a Head, name: &'static str) -> Result<Option<&'a str>, HeadError> {
    let lower_case = name.to_ascii_lowercase();
    match head.count(&lower_case) {
        0 => Ok(None),
        1 => Ok(head.header(&lower_case)),
        _ => Err(HeadError::Duplicate(name)),
    }
}

/// The value of a header that must come once.
fn required<'a>(head: &'a Head, name: &'static str) -> Result<&'a str, HeadError> {
    one(head, name)?.ok_or(HeadError::Missing(name))
}

fn word<'a>(name: &'static str, value: &'a str) -> Result<&'a str, HeadError> {
    let is_word = (1..=NAME_BYTES).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_graphic());
    is_word.then_some(value).ok_or(HeadError::NotOneWord(name))
}

/// A request id, which also stands in the path of the release call.
fn request_id(value: &str) -> Result<&str, HeadError> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let word = word("X-Request-ID", value)?;
    word.bytes().all(is_allowed).then_some(word).ok_or(HeadError::RequestId)
}

/// A number plus a unit: `m` for milliseconds or `u` for microseconds.
pub(crate) fn span(value: &str) -> Option<Micros> {
    let (digits, unit) = match value.strip_suffix('m') {
        Some(digits) => (digits, 1_000),
        None => (value.strip_suffix('u')?, 1),
    };
    let number = parse_digits(digits)?;
    Some(Micros(number.saturating_mul(unit)).min(MAX_TIMEOUT))
}

/// A number of decimal digits alone: no sign, no blanks.
fn parse_digits(digits: &str) -> Option<u64> {
    let is_plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    digits.parse().ok().filter(|_| is_plain)
}

/// The attributes in `X-Attrs` that decisions use.
#[derive(Debug, Default)]
struct Attributes<'a> {
    /// The prefix that the prompt shares with others.
    prefix: Option<&'a str>,
    prompt_tokens: Option<u64>,
    max_output: Option<u64>,
}

fn attributes(value: &str) -> Result<Attributes<'_>, HeadError> {
    let mut attributes = Attributes::default();
    for pair in value.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or(HeadError::AttributePair)?;
        let tokens = || {
            let number = parse_digits(value).filter(|number| *number <= MAX_TOKENS);
            number.ok_or_else(|| HeadError::AttributeTokens(name.to_owned()))
        };
        match name {
            "prefix" if value.is_empty() || value == "0" => {}
            "prefix" => attributes.prefix = Some(word("X-Attrs: prefix", value)?),
            "prompt_len" => attributes.prompt_tokens = Some(tokens()?),
            "max_out" => attributes.max_output = Some(tokens()?),
            // Attributes that decisions don't use are not checked.
            _ => {}
        }
    }
    Ok(attributes)
}

/// Bytes of a token, as the platform counts.
const BYTES_PER_TOKEN: u64 = 4;

/// The key by which engines discard repeats of a request; it is forwarded unchanged.
pub(crate) fn idempotency_key(head: &Head) -> Result<Option<String>, HeadError> {
    let key = one(head, IDEMPOTENCY_KEY)?;
    key.map(|key| word(IDEMPOTENCY_KEY, key).map(str::to_owned)).transpose()
}

/// The tenant; none only where the settings have no tenants.
fn tenant(names: &NameIndex, head: &Head) -> Result<Option<p::TenantId>, HeadError> {
    const NAME: &str = "X-Tenant-Id";
    match one(head, NAME)? {
        Some(name) if names.has_tenants() => names.tenant(name).map(Some).ok_or(HeadError::UnknownTenant),
        None if names.has_tenants() => Err(HeadError::Missing(NAME)),
        _ => Ok(None),
    }
}

/// Reads a request whose first byte came at `arrived`. `body_bytes` stand for the length of a prompt that names none.
pub(crate) fn request(
    names: &NameIndex,
    arrived: Micros,
    head: &Head,
    body_bytes: u64,
) -> Result<p::Request, HeadError> {
    let id = request_id(required(head, "X-Request-ID")?)?;
    let class = names.class(required(head, "X-Priority-Class")?).ok_or(HeadError::UnknownClass)?;
    let tenant = tenant(names, head)?;
    let session = one(head, "X-Route-Key")?.filter(|key| !key.is_empty() && *key != "0");
    let session = session.map(|key| word("X-Route-Key", key)).transpose()?;
    let timeout = span(required(head, "X-Timeout")?).ok_or(HeadError::Timeout)?;
    let attributes = one(head, "X-Attrs")?.map(attributes).transpose()?.unwrap_or_default();
    Ok(p::Request {
        id: id.into(),
        class,
        tenant,
        session: session.map(Into::into),
        prefix: attributes.prefix.map(Into::into),
        prompt_tokens: attributes.prompt_tokens.unwrap_or(body_bytes / BYTES_PER_TOKEN),
        max_output_tokens: attributes.max_output.unwrap_or(0),
        deadline: arrived + timeout,
        resumed: one(head, "X-Retried")?.is_some_and(|v| v.eq_ignore_ascii_case("again")),
    })
}
