//! Authentication of messages and files: a keyed MAC over the bytes and the domain they are meant for.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Bytes of an authentication tag.
pub const TAG_BYTES: usize = 32;

/// The key that all control replicas and routers of a site share.
#[derive(Clone)]
pub struct SiteKey([u8; 32]);

/// Never prints the key.
impl std::fmt::Debug for SiteKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SiteKey(..)")
    }
}

/// The authentication tag does not match: the bytes were changed or truncated, or tagged with another site's key or for
/// another domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the seal does not fit: changed, cut short, or sealed under another site's key")]
pub struct AuthenticationError;

impl SiteKey {
    /// The key with these bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// The domain is part of the input, so that a file can't be passed off as a message. No domain holds a zero byte.
    fn mac(&self, domain: &str, bytes: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        mac.update(domain.as_bytes());
        mac.update(&[0]);
        mac.update(bytes);
        Some(mac)
    }

    /// The bytes followed by their tag.
    pub fn append_tag(&self, domain: &str, mut bytes: Vec<u8>) -> Vec<u8> {
        if let Some(mac) = self.mac(domain, &bytes) {
            bytes.extend_from_slice(&mac.finalize().into_bytes());
        }
        bytes
    }

    /// The bytes without their tag, which is compared in constant time.
    ///
    /// # Errors
    /// The tag is missing or does not match.
    pub fn verify_tag<'a>(&self, domain: &str, tagged: &'a [u8]) -> Result<&'a [u8], AuthenticationError> {
        let length = tagged.len().checked_sub(TAG_BYTES).ok_or(AuthenticationError)?;
        let (bytes, tag) = tagged.split_at(length);
        let mac = self.mac(domain, bytes).ok_or(AuthenticationError)?;
        mac.verify_slice(tag).map_err(|_| AuthenticationError)?;
        Ok(bytes)
    }
}
