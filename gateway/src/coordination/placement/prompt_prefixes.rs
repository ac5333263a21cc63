//! A prompt as engines keep it: parts in order, read by one model.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::state::PromptPart;

/// The beginning of a prompt, up to the end of one of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the model and of all parts up to here, the same on all hosts.
    pub key: u64,
    /// Tokens up to here.
    pub tokens: u32,
}

/// The beginnings of a prompt, shortest first, as one model reads them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefixes {
    prefixes: Vec<PromptPrefix>,
}

impl PromptPrefixes {
    /// Creates the path of a prompt for a model.
    ///
    /// ```
    /// use galenamast_gateway::coordination::placement::PromptPrefixes;
    /// use galenamast_gateway::state::PromptPart;
    ///
    /// let parts = [(1, 800), (2, 250)].map(|(digest, tokens)| PromptPart { digest, tokens });
    /// let path = PromptPrefixes::new("small", &parts);
    /// assert_eq!(path.home().map(|prefix| prefix.tokens), Some(800));
    /// assert_ne!(path, PromptPrefixes::new("large", &parts));
    /// ```
    pub fn new(model: &str, parts: &[PromptPart]) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(model.as_bytes());
        let mut tokens = 0_u32;
        let prefixes = parts.iter().map(|part| {
            hasher.write_u64(part.digest);
            tokens = tokens.saturating_add(part.tokens);
            PromptPrefix {
                key: hasher.finish(),
                tokens,
            }
        });
        Self {
            prefixes: prefixes.collect(),
        }
    }

    /// Returns the beginnings, shortest first.
    pub fn prefixes(&self) -> &[PromptPrefix] {
        &self.prefixes
    }

    /// Returns the beginning that other requests are likely to share: all parts but the last,
    /// which belongs to the request or to its session.
    pub fn home(&self) -> Option<PromptPrefix> {
        match self.prefixes.as_slice() {
            [.., home, _] => Some(*home),
            [only] => Some(*only),
            [] => None,
        }
    }
}
