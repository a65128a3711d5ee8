//! What a client's head says of its request: the `X-*` headers.

use chalkyard_adapter::translate::Names;
use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_proto::Head;

/// The header that names a client's request over its repeats, with the name that the IETF gives it.
pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Longest id, session, prefix or idempotency key that is taken.
const NAME_BYTES: usize = 128;
/// Longest wait that a client may name; the settings' deadlines are far under it.
const WAIT_MOST: Micros = Micros(3_600_000_000);
/// More tokens than any memory holds.
const TOKENS_MOST: u64 = 1 << 32;

/// What is wrong with a head, as the client is told.
pub type Wrong = String;

/// The one header of this name; two are as wrong as none.
fn one<'a>(head: &'a Head, name: &str) -> Result<Option<&'a str>, Wrong> {
    match head.count(&name.to_ascii_lowercase()) {
        0 => Ok(None),
        1 => Ok(head.header(&name.to_ascii_lowercase())),
        _ => Err(format!("{name}: more than one")),
    }
}

fn word<'a>(name: &str, value: &'a str) -> Result<&'a str, Wrong> {
    let good = !value.is_empty() && value.len() <= NAME_BYTES && value.bytes().all(|b| b.is_ascii_graphic());
    good.then_some(value).ok_or_else(|| format!("{name}: not one word of at most {NAME_BYTES} characters"))
}

/// An id also stands in the path of calls of our own.
fn id(value: &str) -> Result<&str, Wrong> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    word("X-Request-ID", value)?
        .bytes()
        .all(plain)
        .then_some(value)
        .ok_or_else(|| "X-Request-ID: only letters, digits, `-`, `_` and `.`".into())
}

/// A number plus a unit: `m` for milliseconds or `u` for microseconds.
pub(crate) fn span(value: &str) -> Option<Micros> {
    let (digits, unit) = match value.strip_suffix('m') {
        Some(digits) => (digits, 1_000),
        None => (value.strip_suffix('u')?, 1),
    };
    let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    let number = digits.parse::<u64>().ok().filter(|_| plain)?;
    Some(Micros(number.saturating_mul(unit)).min(WAIT_MOST))
}

/// Lengths and the shared opening, as `X-Attrs` lists them.
#[derive(Debug, Default)]
struct Attrs<'a> {
    prefix: Option<&'a str>,
    prompt: Option<u64>,
    output: Option<u64>,
}

fn attrs(value: &str) -> Result<Attrs<'_>, Wrong> {
    let mut attrs = Attrs::default();
    for pair in value.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or_else(|| "X-Attrs: not name=value".to_owned())?;
        let number = || {
            let plain = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let number = value.parse::<u64>().ok().filter(|n| plain && *n <= TOKENS_MOST);
            number.ok_or_else(|| format!("X-Attrs: `{name}` is no number of tokens"))
        };
        match name {
            "prefix" if value.is_empty() || value == "0" => {}
            "prefix" => attrs.prefix = Some(word("X-Attrs: prefix", value)?),
            "prompt_len" => attrs.prompt = Some(number()?),
            "max_out" => attrs.output = Some(number()?),
            // Others may be added; what the decisions don't use is not judged.
            _ => {}
        }
    }
    Ok(attrs)
}

/// Characters of a token, as the platform counts.
const TOKEN_BYTES: u64 = 4;

/// The key by which engines know repeats of a guarded request: passed on as it came.
pub(crate) fn idempotency_key(head: &Head) -> Result<Option<String>, Wrong> {
    let key = one(head, IDEMPOTENCY_KEY)?;
    key.map(|key| word(IDEMPOTENCY_KEY, key).map(str::to_owned)).transpose()
}

/// A request from its head, whose first byte came at `arrived`; `body_bytes` stand for its length where it names none.
pub(crate) fn request(
    names: &Names,
    arrived: Micros,
    head: &Head,
    body_bytes: u64,
) -> Result<p::Request, Wrong> {
    let missing = |name: &str| format!("{name}: missing");
    let id = id(one(head, "X-Request-ID")?.ok_or_else(|| missing("X-Request-ID"))?)?;
    let class = one(head, "X-Priority-Class")?.ok_or_else(|| missing("X-Priority-Class"))?;
    let class = names.class(class).ok_or_else(|| "X-Priority-Class: no such class".to_owned())?;
    let tenant = match one(head, "X-Tenant-Id")? {
        Some(name) if names.has_tenants() => {
            Some(names.tenant(name).ok_or_else(|| "X-Tenant-Id: no such tenant".to_owned())?)
        }
        None if names.has_tenants() => return Err(missing("X-Tenant-Id")),
        _ => None,
    };
    let session = one(head, "X-Route-Key")?.filter(|key| !key.is_empty() && *key != "0");
    let session = session.map(|key| word("X-Route-Key", key)).transpose()?;
    let wait = one(head, "X-Timeout")?.ok_or_else(|| missing("X-Timeout"))?;
    let wait = span(wait).ok_or_else(|| "X-Timeout: not a number with `m` or `u`".to_owned())?;
    let attrs = one(head, "X-Attrs")?.map(attrs).transpose()?.unwrap_or_default();
    Ok(p::Request {
        id: id.into(),
        class,
        tenant,
        session: session.map(Into::into),
        prefix: attrs.prefix.map(Into::into),
        prompt_tokens: attrs.prompt.unwrap_or(body_bytes / TOKEN_BYTES),
        max_output: attrs.output.unwrap_or(0),
        deadline: arrived + wait,
        resumed: one(head, "X-Retried")?.is_some_and(|v| v.eq_ignore_ascii_case("again")),
    })
}
