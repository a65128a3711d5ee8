//! Server-sent events, read and written.

use crate::{Error, Reason};

/// One event of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// Its name; empty where none was given.
    pub name: String,
    /// Its data, lines joined by LF.
    pub data: String,
    /// Its id; empty where none was given.
    pub id: String,
}

/// Reads a stream of events in any splitting of its bytes.
#[derive(Debug)]
pub struct Reader {
    most: usize,
    line: Vec<u8>,
    /// The last byte was a CR, whose LF may follow.
    after_cr: bool,
    first: bool,
    event: Event,
    has_data: bool,
}

impl Reader {
    /// `most`: bytes of one event, and of one line.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            line: Vec::new(),
            after_cr: false,
            first: true,
            event: Event::default(),
            has_data: false,
        }
    }

    /// Takes bytes and appends the events that they end.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), Error> {
        let mut rest = bytes;
        loop {
            if std::mem::take(&mut self.after_cr) {
                rest = rest.strip_prefix(b"\n").unwrap_or(rest);
                // The LF may come with the next bytes.
                self.after_cr = rest.is_empty() && !bytes.ends_with(b"\n");
            }
            let end = rest.iter().position(|b| matches!(b, b'\n' | b'\r'));
            let (line, after) = rest.split_at(end.unwrap_or(rest.len()));
            if self.line.len() + line.len() > self.most {
                return Err(Reason::EventTooLong.into());
            }
            self.line.extend_from_slice(line);
            let Some((stop, after)) = after.split_first() else { return Ok(()) };
            self.after_cr = *stop == b'\r';
            rest = after;
            self.end_line(out)?;
        }
    }

    fn end_line(&mut self, out: &mut Vec<Event>) -> Result<(), Error> {
        let mut bytes = std::mem::take(&mut self.line);
        let ended = self.line_text(&bytes, out);
        bytes.clear();
        self.line = bytes;
        ended
    }

    fn line_text(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), Error> {
        let text = std::str::from_utf8(bytes).map_err(|_| Reason::Malformed)?;
        let text = if std::mem::take(&mut self.first) { text.trim_start_matches('\u{feff}') } else { text };
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
                if self.event.data.len() + value.len() + 1 > self.most {
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

/// Appends one event; a line end within `data` becomes a further data line.
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
