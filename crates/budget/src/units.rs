//! Units of budgets: times, tokens, weights and costs.

use serde::{Deserialize, Serialize};

/// Microseconds since 1970.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// The time this many microseconds later.
    #[must_use]
    pub fn after(self, micros: u64) -> Self {
        Self(self.0.saturating_add(micros))
    }

    /// Microseconds since an earlier time, or 0 if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Thousandths of a budget token: a token of weight 1 is 1,000 units. All sums are integers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Units(pub u64);

impl Units {
    /// Units in a token of weight 1.
    pub const PER_TOKEN: u64 = 1_000;

    /// The units of this many tokens of weight 1.
    pub fn tokens(tokens: u64) -> Self {
        Self(tokens.saturating_mul(Self::PER_TOKEN))
    }

    /// The number of tokens of weight 1, rounded up.
    pub fn in_tokens(self) -> u64 {
        self.0.div_ceil(Self::PER_TOKEN)
    }

    /// Saturating sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Saturating difference.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// These units times `part / total`, rounded down; 0 if `total` is 0.
    #[must_use]
    pub fn share(self, part: u64, total: u64) -> Self {
        if total == 0 {
            return Self(0);
        }
        let value = u128::from(self.0) * u128::from(part) / u128::from(total);
        Self(u64::try_from(value).unwrap_or(u64::MAX))
    }
}

impl std::iter::Sum for Units {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self(0), Self::plus)
    }
}

/// Tokens of a request as an engine counted them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt, including cached ones.
    pub prompt: u64,
    /// Tokens of the prompt that were cached and not computed again.
    #[serde(rename = "kept")]
    pub cached: u64,
    /// Tokens of the answer.
    pub output: u64,
}

impl Usage {
    /// Saturating sum of each count.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            prompt: self.prompt.saturating_add(other.prompt),
            cached: self.cached.saturating_add(other.cached),
            output: self.output.saturating_add(other.output),
        }
    }

    /// Unweighted sum of prompt and output tokens.
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// Units for each kind of token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// Units of a prompt token that was computed.
    pub prompt: u32,
    /// Units of a cached prompt token.
    #[serde(rename = "kept")]
    pub cached: u32,
    /// Units of an output token.
    pub output: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { prompt: 1_000, cached: 1_000, output: 1_000 }
    }
}

impl Weights {
    /// Cost of a usage.
    pub fn cost(&self, usage: Usage) -> Units {
        let cached = usage.cached.min(usage.prompt);
        let of = |tokens: u64, weight: u32| tokens.saturating_mul(u64::from(weight));
        let read = of(usage.prompt - cached, self.prompt);
        Units(read.saturating_add(of(cached, self.cached)).saturating_add(of(usage.output, self.output)))
    }

    /// Maximum cost of a request: all of its prompt counts at the higher of the two prompt weights.
    pub fn worst(&self, prompt: u64, output: u64) -> Units {
        let dearer = self.prompt.max(self.cached);
        Units(
            prompt
                .saturating_mul(u64::from(dearer))
                .saturating_add(output.saturating_mul(self.output.into())),
        )
    }
}
