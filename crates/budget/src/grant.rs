//! Numbered and signed grants of a settlement round, which give each router its lease.

use hmac::{Hmac, KeyInit, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::calendar::Period;
use crate::plan::AccountKey;
use crate::units::{Time, Units};

/// The maximum that a router may spend of an account in a period. Later grants raise or lower it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Allowance {
    /// The account.
    pub key: AccountKey,
    /// The period.
    #[serde(rename = "span")]
    pub period: Period,
    /// Maximum of spent and reserved units at the router.
    pub ceiling: Units,
    /// Budget of the period over all routers.
    pub limit: Units,
    /// Units used at all other routers, according to their ledgers.
    pub elsewhere: Units,
}

/// The allowances that one round gives one router.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The router's name.
    pub router: Box<str>,
    /// The round's number.
    pub number: u64,
    /// Expiry time: from then on no request is admitted under the grant.
    pub until: Time,
    /// Changed allowances; all others stay in force.
    pub allowances: Vec<Allowance>,
}

/// A ceiling that a router holds or may still adopt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Outstanding {
    /// The router's name.
    pub router: Box<str>,
    /// The account.
    pub key: AccountKey,
    /// The period.
    #[serde(rename = "span")]
    pub period: Period,
    /// The highest outstanding ceiling.
    pub ceiling: Units,
    /// Number of the newest round that granted the ceiling.
    pub number: u64,
    /// The latest expiry time of the grants.
    pub until: Time,
}

/// A settlement round, stored as one entry of the journal. Each entry contains all outstanding ceilings, so that
/// the newest entry suffices to continue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Round {
    /// One more than the number of the previous round.
    pub number: u64,
    /// Time of the round by the settlement job's clock.
    pub at: Time,
    /// One grant for each router.
    pub grants: Vec<Grant>,
    /// All ceilings that are not known to be replaced or expired, including those of these grants.
    pub outstanding: Vec<Outstanding>,
}

/// The secret key that the settlement job and the routers share.
#[derive(Clone)]
pub struct SigningKey([u8; 32]);

impl std::fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SigningKey(..)")
    }
}

/// Why a message is not accepted as the settlement job's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignatureError {
    /// The message has no line with a MAC.
    Truncated,
    /// The MAC does not match: the message was changed or signed with another key.
    WrongMac,
    /// The MAC matches, but the message can't be parsed; it may be of another version.
    Unreadable,
}

impl std::fmt::Display for SignatureError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Truncated => "cut short: no line with a MAC",
            Self::WrongMac => "the MAC does not fit: changed, or signed under another key",
            Self::Unreadable => "signed, and not understood: of another version?",
        })
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let pair = |i: usize| text.get(i..i + 2).and_then(|h| u8::from_str_radix(h, 16).ok());
    (0..text.len()).step_by(2).map(pair).collect()
}

impl SigningKey {
    /// Parses a key from 64 hexadecimal digits.
    ///
    /// # Errors
    /// Describes the expected format.
    pub fn new(text: &str) -> Result<Self, String> {
        let bytes = unhex(text.trim()).and_then(|b| b.try_into().ok());
        bytes.map(Self).ok_or_else(|| "must be 64 hexadecimal digits".into())
    }

    fn mac(&self, purpose: &str) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        // The purpose is part of the MAC, so a message signed for one purpose is not valid for another.
        mac.update(purpose.as_bytes());
        mac.update(&[0]);
        Some(mac)
    }

    fn sign(&self, purpose: &str, message: &impl Serialize) -> Vec<u8> {
        let mut bytes = serde_json::to_vec(message).unwrap_or_default();
        let Some(mut mac) = self.mac(purpose) else { return Vec::new() };
        mac.update(&bytes);
        bytes.push(b'\n');
        bytes.extend_from_slice(hex(&mac.finalize().into_bytes()).as_bytes());
        bytes.push(b'\n');
        bytes
    }

    fn open<T: DeserializeOwned>(&self, purpose: &str, bytes: &[u8]) -> Result<T, SignatureError> {
        let text = std::str::from_utf8(bytes).map_err(|_| SignatureError::WrongMac)?;
        let (body, tag) =
            text.strip_suffix('\n').and_then(|t| t.split_once('\n')).ok_or(SignatureError::Truncated)?;
        let tag = unhex(tag).ok_or(SignatureError::WrongMac)?;
        let mut mac = self.mac(purpose).ok_or(SignatureError::WrongMac)?;
        mac.update(body.as_bytes());
        mac.verify_slice(&tag).map_err(|_| SignatureError::WrongMac)?;
        serde_json::from_str(body).map_err(|_| SignatureError::Unreadable)
    }

    /// Encodes a grant for delivery: a line of JSON and a line with its HMAC-SHA-256.
    pub fn sign_grant(&self, grant: &Grant) -> Vec<u8> {
        self.sign("chalkyard-grant-1", grant)
    }

    /// Verifies and parses a delivered grant.
    ///
    /// # Errors
    /// If the message is not signed with this key or can't be parsed.
    pub fn open_grant(&self, bytes: &[u8]) -> Result<Grant, SignatureError> {
        self.open("chalkyard-grant-1", bytes)
    }

    /// Encodes a round for the journal.
    pub fn sign_round(&self, round: &Round) -> Vec<u8> {
        self.sign("chalkyard-round-1", round)
    }

    /// Verifies and parses a journal entry.
    ///
    /// # Errors
    /// If the message is not signed with this key or can't be parsed.
    pub fn open_round(&self, bytes: &[u8]) -> Result<Round, SignatureError> {
        self.open("chalkyard-round-1", bytes)
    }
}
