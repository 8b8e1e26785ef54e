//! How an emulated worker behaves at a time: drawn from a seed, the same in every run.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// How long a mood lasts.
const SPELL: Duration = Duration::from_secs(5);

/// What a worker does with the calls of a spell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    /// It serves.
    Fine,
    /// It serves, so many times slower.
    Slow(f64),
    /// It runs the call and says nothing.
    Silent,
    /// It runs the call and breaks the connection.
    Resetting,
    /// It runs the call and answers what is no answer.
    Lying,
    /// It answers with an error.
    Failing,
}

/// Draws moods.
#[derive(Clone, Copy, Debug)]
pub struct Script {
    /// What they follow from.
    pub seed: u64,
    /// The part of the spells of a worker in which it is not fine.
    pub trouble: f64,
}

impl Script {
    /// The mood of a worker so long after the start.
    pub fn mood(&self, worker: usize, since: Duration) -> Mood {
        let spell = since.as_millis() / SPELL.as_millis();
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ ((worker as u64) << 32) ^ spell as u64);
        if rng.random::<f64>() >= self.trouble {
            return Mood::Fine;
        }
        match rng.random_range(0..5) {
            0 => Mood::Slow(rng.random_range(3.0..8.0)),
            1 => Mood::Silent,
            2 => Mood::Resetting,
            3 => Mood::Lying,
            _ => Mood::Failing,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn moods_follow_from_the_seed_and_come_as_often_as_asked() {
        let moods = |seed, trouble| -> Vec<Mood> {
            let script = Script { seed, trouble };
            (0..2000).map(|spell| script.mood(spell % 7, SPELL * spell as u32)).collect()
        };
        assert_eq!(moods(3, 0.3), moods(3, 0.3));
        assert_ne!(moods(3, 0.3), moods(4, 0.3));
        assert!(moods(3, 0.0).iter().all(|mood| *mood == Mood::Fine));
        let troubled = moods(3, 0.3).iter().filter(|mood| **mood != Mood::Fine).count();
        assert!((500..700).contains(&troubled), "{troubled}");
    }
}
