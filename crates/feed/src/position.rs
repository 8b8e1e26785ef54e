//! A follower's progress through the changes of one control node.
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A point in the sequence of changes that one process of a control node has accepted.
///
/// Positions of different incarnations can't be compared, as they count different changes. As text, and so in messages:
/// the incarnation in 16 hexadecimal digits, a colon, and the revision in decimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Position {
    /// A random number that a control node generates when it starts.
    pub incarnation: u64,
    /// The number of changes that its store has accepted since then.
    pub revision: u64,
}

/// The text can't be parsed as a [`Position`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid position: expected 16 hexadecimal digits, a colon and a number")]
pub struct BadPosition;

/// Length of an incarnation as text, in hexadecimal digits.
const INCARNATION_DIGITS: usize = 16;

impl Position {
    /// The position of a control node that has just started, before its first change.
    pub fn start(rng: &mut impl Rng) -> Self {
        Position { incarnation: rng.random(), revision: 0 }
    }

    /// The position at a revision of the same incarnation.
    pub fn at(self, revision: u64) -> Self {
        Position { revision, ..self }
    }

    /// How many changes this position is behind `other`; `None` if it is ahead of `other` or the incarnations differ.
    pub fn behind(self, other: Position) -> Option<u64> {
        if self.incarnation != other.incarnation {
            return None;
        }
        other.revision.checked_sub(self.revision)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}:{}", self.incarnation, self.revision)
    }
}

impl FromStr for Position {
    type Err = BadPosition;

    fn from_str(text: &str) -> Result<Self, BadPosition> {
        let (incarnation, revision) = text.split_once(':').ok_or(BadPosition)?;
        let is_hexadecimal = incarnation.bytes().all(|byte| byte.is_ascii_hexdigit());
        let is_decimal = revision.bytes().all(|byte| byte.is_ascii_digit());
        if incarnation.len() != INCARNATION_DIGITS || !is_hexadecimal || !is_decimal {
            return Err(BadPosition);
        }
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| BadPosition)?;
        let revision = revision.parse().map_err(|_| BadPosition)?;
        Ok(Position { incarnation, revision })
    }
}

impl From<Position> for String {
    fn from(position: Position) -> String {
        position.to_string()
    }
}

impl TryFrom<String> for Position {
    type Error = BadPosition;

    fn try_from(text: String) -> Result<Self, BadPosition> {
        text.parse()
    }
}
