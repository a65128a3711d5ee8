//! Incremental parser and encoder for server-sent events.

use crate::{Error, Reason};

/// One event of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// Name from the `event` field; empty if there is none.
    pub name: String,
    /// Lines from the `data` fields, joined by LF.
    pub data: String,
    /// Id from the `id` field; empty if there is none.
    pub id: String,
}

/// Parses a stream of events, independent of how its bytes are split.
#[derive(Debug)]
pub struct Parser {
    max_event_bytes: usize,
    /// Buffer of the incomplete line.
    line: Vec<u8>,
    /// Whether the last byte was a CR, so that an LF of the same line end may follow.
    after_cr: bool,
    /// Whether no line is complete yet; only the first line may begin with a byte order mark.
    is_first_line: bool,
    /// The incomplete event.
    event: Event,
    /// Whether the incomplete event has a data line; an event without data is dropped.
    has_data: bool,
}

impl Parser {
    /// Creates a parser for a new stream. Neither an event nor a line may be longer than `max_event_bytes`.
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            max_event_bytes,
            line: Vec::new(),
            after_cr: false,
            is_first_line: true,
            event: Event::default(),
            has_data: false,
        }
    }

    /// Parses the next bytes of the stream, and appends the completed events to `out`.
    ///
    /// # Errors
    /// An event or a line is too long, or a line is not UTF-8.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), Error> {
        let mut rest = bytes;
        loop {
            if std::mem::take(&mut self.after_cr) {
                rest = rest.strip_prefix(b"\n").unwrap_or(rest);
                // The LF may be the first of the next bytes.
                self.after_cr = rest.is_empty() && !bytes.ends_with(b"\n");
            }
            let end = rest.iter().position(|b| matches!(b, b'\n' | b'\r'));
            let (line, after) = rest.split_at(end.unwrap_or(rest.len()));
            if self.line.len() + line.len() > self.max_event_bytes {
                return Err(Reason::EventTooLong.into());
            }
            self.line.extend_from_slice(line);
            let Some((line_end, after)) = after.split_first() else { return Ok(()) };
            self.after_cr = *line_end == b'\r';
            rest = after;
            self.end_line(out)?;
        }
    }

    fn end_line(&mut self, out: &mut Vec<Event>) -> Result<(), Error> {
        let mut bytes = std::mem::take(&mut self.line);
        let result = self.parse_line(&bytes, out);
        // The buffer is reused for the next line.
        bytes.clear();
        self.line = bytes;
        result
    }

    fn parse_line(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), Error> {
        let text = std::str::from_utf8(bytes).map_err(|_| Reason::Malformed)?;
        let is_first_line = std::mem::take(&mut self.is_first_line);
        let text = if is_first_line { text.trim_start_matches('\u{feff}') } else { text };
        if text.is_empty() {
            let event = std::mem::take(&mut self.event);
            if std::mem::take(&mut self.has_data) {
                out.push(event);
            }
            return Ok(());
        }
        let (field, value) = text.split_once(':').unwrap_or((text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => {
                if self.event.data.len() + value.len() + 1 > self.max_event_bytes {
                    return Err(Reason::EventTooLong.into());
                }
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.has_data = true;
                self.event.data.push_str(value);
            }
            "event" => self.event.name = value.into(),
            "id" if !value.contains('\0') => self.event.id = value.into(),
            _ => {}
        }
        Ok(())
    }
}

/// Encodes one event and appends it to `out`. Each line of `data` becomes a `data` field.
pub fn write(out: &mut Vec<u8>, name: &str, id: Option<u64>, data: &str) {
    let mut field = |name: &[u8], value: &[u8]| {
        out.extend_from_slice(name);
        out.extend_from_slice(value);
        out.push(b'\n');
    };
    if !name.is_empty() {
        field(b"event: ", name.as_bytes());
    }
    if let Some(id) = id {
        field(b"id: ", id.to_string().as_bytes());
    }
    for line in data.split('\n') {
        field(b"data: ", line.as_bytes());
    }
    out.push(b'\n');
}
