//! Keys for the prefixes of a prompt, as engines cache them: parts in order, read by one model.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::state::PromptPart;

/// A prompt prefix that ends with one of the prompt's parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the model and of all parts in the prefix, the same on all hosts.
    pub key: u64,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// The prefixes of a prompt as one model reads them, shortest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefixes {
    prefixes: Vec<PromptPrefix>,
}

impl PromptPrefixes {
    /// Creates the prefixes of a prompt for a model.
    ///
    /// ```
    /// use galenamast_gateway::coordination::placement::PromptPrefixes;
    /// use galenamast_gateway::state::PromptPart;
    ///
    /// let parts = [(1, 800), (2, 250)].map(|(digest, tokens)| PromptPart { digest, tokens });
    /// let prompt = PromptPrefixes::new("small", &parts);
    /// assert_eq!(prompt.shared_prefix().map(|prefix| prefix.tokens), Some(800));
    /// assert_ne!(prompt, PromptPrefixes::new("large", &parts));
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

    /// Returns the prefixes, shortest first.
    pub fn prefixes(&self) -> &[PromptPrefix] {
        &self.prefixes
    }

    /// Returns the prefix that other requests are likely to share: all parts but the last, which
    /// belongs to the request or to its session. A prompt of one part is shared as a whole.
    pub fn shared_prefix(&self) -> Option<PromptPrefix> {
        match self.prefixes.as_slice() {
            [.., shared_prefix, _] => Some(*shared_prefix),
            [only] => Some(*only),
            [] => None,
        }
    }
}
