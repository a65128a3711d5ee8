//! Leases: what a settlement round grants each router, signed and numbered.

use hmac::{Hmac, KeyInit, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::calendar::Period;
use crate::plan::AccountKey;
use crate::units::{Time, Units};

/// The most that a router may ever spend of an account in a period. Raised and lowered by later grants.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Allowance {
    /// The account.
    pub key: AccountKey,
    /// The period.
    #[serde(rename = "span")]
    pub period: Period,
    /// Spent and reserved there together never pass it.
    pub ceiling: Units,
    /// What the period allows over all routers.
    pub limit: Units,
    /// Used over all other routers, as far as their ledgers told.
    pub elsewhere: Units,
}

/// What one round says to one router.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The router's name.
    pub router: Box<str>,
    /// The round's number.
    pub number: u64,
    /// Nothing is taken by it from then on.
    pub until: Time,
    /// What changed; what is not named stays.
    pub allowances: Vec<Allowance>,
}

/// A ceiling that a router may hold or still come to hold.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Outstanding {
    /// Whose.
    pub router: Box<str>,
    /// Of which account.
    pub key: AccountKey,
    /// In which period.
    #[serde(rename = "span")]
    pub period: Period,
    /// The highest of those out.
    pub ceiling: Units,
    /// The newest round that named it.
    pub number: u64,
    /// The longest of their lives.
    pub until: Time,
}

/// A settlement round: one entry of the journal. It names all that is outstanding, so that the newest entry
/// is enough to go on from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Round {
    /// One more than that of the round before.
    pub number: u64,
    /// When, by the settlement job's clock.
    pub at: Time,
    /// One for each router.
    pub grants: Vec<Grant>,
    /// All that is out and not known to be replaced or over, these grants included.
    pub outstanding: Vec<Outstanding>,
}

/// The key that settlement job and routers share.
#[derive(Clone)]
pub struct SigningKey([u8; 32]);

impl std::fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SigningKey(..)")
    }
}

/// Why a message is not taken for the settlement job's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignatureError {
    /// No line with a MAC.
    Truncated,
    /// The MAC is another's, or the message was changed.
    WrongMac,
    /// Signed, and not understood: another version.
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
    /// From 64 hexadecimal digits.
    ///
    /// # Errors
    /// Says what is wrong with the text.
    pub fn new(text: &str) -> Result<Self, String> {
        let bytes = unhex(text.trim()).and_then(|b| b.try_into().ok());
        bytes.map(Self).ok_or_else(|| "must be 64 hexadecimal digits".into())
    }

    fn mac(&self, purpose: &str) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        // What is signed for one purpose can't be shown for another.
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

    /// A grant as it is delivered: a line of JSON, and a line with the HMAC-SHA-256 of it.
    pub fn sign_grant(&self, grant: &Grant) -> Vec<u8> {
        self.sign("chalkyard-grant-1", grant)
    }

    /// Reads a delivered grant.
    ///
    /// # Errors
    /// If it is not the settlement job's.
    pub fn open_grant(&self, bytes: &[u8]) -> Result<Grant, SignatureError> {
        self.open("chalkyard-grant-1", bytes)
    }

    /// A round as the journal keeps it.
    pub fn sign_round(&self, round: &Round) -> Vec<u8> {
        self.sign("chalkyard-round-1", round)
    }

    /// Reads a journal's entry.
    ///
    /// # Errors
    /// If it is not the settlement job's.
    pub fn open_round(&self, bytes: &[u8]) -> Result<Round, SignatureError> {
        self.open("chalkyard-round-1", bytes)
    }
}
