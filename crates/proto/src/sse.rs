//! Server-sent events, read and written.

use std::io::Write;

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
        for b in bytes.iter().copied() {
            let after_cr = std::mem::replace(&mut self.after_cr, b == b'\r');
            match b {
                b'\n' if after_cr => {}
                b'\n' | b'\r' => self.end_line(out)?,
                _ if self.line.len() >= self.most => return Err(Reason::EventTooLong.into()),
                _ => self.line.push(b),
            }
        }
        Ok(())
    }

    /// Whether an event has begun and not ended.
    pub fn is_mid_event(&self) -> bool {
        self.has_data || !self.line.is_empty()
    }

    fn end_line(&mut self, out: &mut Vec<Event>) -> Result<(), Error> {
        let bytes = std::mem::take(&mut self.line);
        let text = std::str::from_utf8(&bytes).map_err(|_| Reason::Malformed)?;
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
    if !name.is_empty() {
        let _ = writeln!(out, "event: {name}");
    }
    if let Some(id) = id {
        let _ = writeln!(out, "id: {id}");
    }
    for line in data.split('\n') {
        let _ = writeln!(out, "data: {line}");
    }
    out.push(b'\n');
}
