//! Messages and files of one site: sealed under its key, for one purpose each.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Bytes of a seal.
pub const TAG_BYTES: usize = 32;

/// The key that all control replicas and routers of a site share.
#[derive(Clone)]
pub struct SiteKey([u8; 32]);

impl std::fmt::Debug for SiteKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SiteKey(..)")
    }
}

/// The seal does not fit: the bytes were changed or cut, or are another site's, or meant for another domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AuthenticationError;

impl std::fmt::Display for AuthenticationError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the seal does not fit: changed, cut short, or sealed under another site's key")
    }
}

impl SiteKey {
    /// From its bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    fn mac(&self, domain: &str, bytes: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        mac.update(domain.as_bytes());
        mac.update(&[0]);
        mac.update(bytes);
        Some(mac)
    }

    /// The bytes with their seal behind them.
    pub fn append_tag(&self, domain: &str, mut bytes: Vec<u8>) -> Vec<u8> {
        if let Some(mac) = self.mac(domain, &bytes) {
            bytes.extend_from_slice(&mac.finalize().into_bytes());
        }
        bytes
    }

    /// The bytes without their seal.
    ///
    /// # Errors
    /// If it does not fit. Compared in constant time.
    pub fn verify_tag<'a>(
        &self,
        domain: &str,
        authenticated: &'a [u8],
    ) -> Result<&'a [u8], AuthenticationError> {
        let length = authenticated.len().checked_sub(TAG_BYTES).ok_or(AuthenticationError)?;
        let (bytes, tag) = authenticated.split_at(length);
        let mac = self.mac(domain, bytes).ok_or(AuthenticationError)?;
        mac.verify_slice(tag).map_err(|_| AuthenticationError)?;
        Ok(bytes)
    }
}
