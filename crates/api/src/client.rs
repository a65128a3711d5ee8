//! The messages call of clients, `POST /v1/messages`: its request, its answers and its errors.

mod answer;
mod error;
mod prompt;
mod request;

pub use answer::{Event, Usage, WholeAnswer};
pub use error::{ErrorBody, ErrorKind, Refusal};
pub use request::{identity, is_name, Bounds, MessageRole, MessagesRequest, Sampling, NAME_BYTES};

#[cfg(test)]
#[path = "client_test.rs"]
mod tests;
