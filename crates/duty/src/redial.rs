//! When a source of news that failed is called again.
use crate::Ms;

/// Longest first pause.
const FIRST_MS: Ms = 50.0;
/// Longest pause of all. What a channel has to tell counts as told 2 s after a break, and 4 s after it fell silent, which
/// takes 1.3 s to be noticed; a call takes up to 0.3 s. So the pause is the smallest part of either.
const MOST_MS: Ms = 400.0;

/// Pauses that double with each call that brought nothing, drawn so that many who lost the same source do not come back
/// at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Redial {
    vain: u32,
}

impl Redial {
    /// A call brought news: the next may follow at once.
    pub fn heard(&mut self) {
        self.vain = 0;
    }

    /// A call brought nothing; the pause before the next, with a draw between 0 and 1.
    pub fn pause(&mut self, draw: f64) -> Ms {
        let whole = (FIRST_MS * 2f64.powi(self.vain.min(16) as i32)).min(MOST_MS);
        self.vain = self.vain.saturating_add(1);
        whole * (0.5 + draw.clamp(0.0, 1.0) / 2.0)
    }
}

#[cfg(test)]
mod tests;
