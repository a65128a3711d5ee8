//! The messages call of clients, `POST /v1/messages`: request, answers and errors.

mod answer;
mod error;
mod prompt;
mod request;

pub use answer::{CompleteAnswer, Event, Usage};
pub use error::{ErrorBody, ErrorKind, RequestError};
pub use request::{
    is_valid_name, parse_idempotency_key, MessageRole, MessagesRequest, RequestLimits, Sampling,
    MAX_NAME_BYTES,
};

#[cfg(test)]
#[path = "client_test.rs"]
mod tests;
