//! Authentication of messages and files by HMAC-SHA256 over a domain and the bytes.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of an authentication tag, in bytes.
pub const TAG_BYTES: usize = 32;

/// The secret key that all control replicas and routers of a site share.
#[derive(Clone)]
pub struct SiteKey([u8; 32]);

/// Hides the key, so that it never appears in logs.
impl std::fmt::Debug for SiteKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SiteKey(..)")
    }
}

/// The authentication tag is missing or does not match: the bytes were changed or truncated, or the tag was made with another
/// site's key or for another domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the authentication tag does not match: data changed, truncated, or tagged with another site's key")]
pub struct AuthenticationError;

impl SiteKey {
    /// Creates a key from its bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Computes the MAC. The domain is part of the input, so that a file can't be used as a message. The zero byte ends the domain
    /// unambiguously, since no domain contains one.
    fn mac(&self, domain: &str, bytes: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        mac.update(domain.as_bytes());
        mac.update(&[0]);
        mac.update(bytes);
        Some(mac)
    }

    /// Returns the bytes followed by their tag.
    pub fn append_tag(&self, domain: &str, mut bytes: Vec<u8>) -> Vec<u8> {
        if let Some(mac) = self.mac(domain, &bytes) {
            bytes.extend_from_slice(&mac.finalize().into_bytes());
        }
        bytes
    }

    /// Verifies the tag in constant time and returns the bytes without it.
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
