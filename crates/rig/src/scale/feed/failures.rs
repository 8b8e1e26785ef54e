//! Control nodes that are lost in the instant of a change, or that wake up with an old state.
use super::cluster::{configure, Cluster, CONTROLS};
use super::{NEW_MEMORY_MB, OLD_MEMORY_MB};
use crate::scale::process::DaemonProcess;
use crate::scale::ScaleError;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Longest span between a change and the loss of a control node.
const LARGEST_OFFSET_MS: u64 = 30;
/// After a control node has come back, it has followers and peers again by then.
const SETTLE: Duration = Duration::from_secs(2);
/// Longest wait until followers have gone to the only control node that is left.
const MOVE_LIMIT: Duration = Duration::from_secs(20);
/// For how long followers stay with a stale control node before they are looked at.
const STALE_STAY: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(50);

/// How a control node is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Killed,
    Suspended,
}

/// What was found while control nodes were lost.
#[derive(Clone, Debug, Default)]
pub struct LossOutcome {
    /// The time until each change was in force at all followers.
    pub until_in_force: Vec<Duration>,
    /// The time from each return of a control node until it had the change as well.
    pub until_caught_up: Vec<Duration>,
}

/// Makes changes at one control node while another, that with the most followers, is killed or suspended within
/// milliseconds of it.
pub fn control_lost_at_a_change(
    cluster: &mut Cluster,
    plays: usize,
    seed: u64,
) -> Result<LossOutcome, ScaleError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut outcome = LossOutcome::default();
    for play in 0..plays {
        let (lost, followers) = busiest_control(cluster)?;
        let writer = (lost + rng.random_range(1..CONTROLS)) % CONTROLS;
        let loss = if rng.random() { Loss::Killed } else { Loss::Suspended };
        let lost_first: bool = rng.random();
        let offset = Duration::from_millis(rng.random_range(0..=LARGEST_OFFSET_MS));
        let function = format!("lost-{play}");
        let of_all = cluster.change(std::slice::from_ref(&function), OLD_MEMORY_MB, |controls, names| {
            if lost_first {
                lose(&controls[lost], loss)?;
                std::thread::sleep(offset);
                return configure(&controls[writer], names, OLD_MEMORY_MB);
            }
            configure(&controls[writer], names, OLD_MEMORY_MB)?;
            std::thread::sleep(offset);
            lose(&controls[lost], loss)
        })?;
        let longest = of_all.into_iter().max().unwrap_or_default();
        eprintln!(
            "play {play}: control-{lost} with {followers} followers {loss:?}, first: {lost_first}, \
             in force after {longest:?}"
        );
        outcome.until_in_force.push(longest);
        let returns = Instant::now();
        match loss {
            Loss::Killed => cluster.controls[lost].restart()?,
            Loss::Suspended => cluster.controls[lost].process().resume()?,
        }
        cluster.wait_until_controls_know(&function)?;
        outcome.until_caught_up.push(returns.elapsed());
        std::thread::sleep(SETTLE);
    }
    Ok(outcome)
}

/// The control node that most hollow followers follow, and how many do. A control node that came back has few: followers
/// stay where they went.
fn busiest_control(cluster: &mut Cluster) -> Result<(usize, usize), ScaleError> {
    let summaries = cluster.summaries()?;
    let counted = (0..CONTROLS).map(|control| {
        let address = cluster.feed_address(control);
        let follows = summaries.iter().filter(|one| one.is_following && one.control == Some(address));
        (control, follows.count())
    });
    counted
        .max_by_key(|(_, followers)| *followers)
        .ok_or_else(|| ScaleError::Failed("there are no control nodes".into()))
}

fn lose(control: &DaemonProcess, loss: Loss) -> Result<(), ScaleError> {
    match loss {
        Loss::Killed => control.process().send_kill()?,
        Loss::Suspended => control.process().suspend()?,
    }
    Ok(())
}

/// What followers did with a control node that had slept through a change.
#[derive(Clone, Copy, Debug, Default)]
pub struct StaleOutcome {
    /// Followers that followed it, over all plays.
    pub followed_stale: usize,
    /// Followers at which the change was undone or missing, over all plays.
    pub taken_back: usize,
}

/// Suspends a control node, changes a function, and lets followers find nobody but the one that slept.
pub fn stale_control_wakes(cluster: &mut Cluster, plays: usize) -> Result<StaleOutcome, ScaleError> {
    let mut outcome = StaleOutcome::default();
    for play in 0..plays {
        let stale = play % CONTROLS;
        let others = [(stale + 1) % CONTROLS, (stale + 2) % CONTROLS];
        let function = [format!("stale-{play}")];
        cluster.change(&function, OLD_MEMORY_MB, |controls, names| {
            configure(&controls[others[0]], names, OLD_MEMORY_MB)
        })?;
        cluster.wait_until_controls_know(&function[0])?;
        cluster.controls[stale].process().suspend()?;
        cluster.change(&function, NEW_MEMORY_MB, |controls, names| {
            configure(&controls[others[0]], names, NEW_MEMORY_MB)
        })?;
        for other in others {
            cluster.controls[other].process().suspend()?;
        }
        cluster.controls[stale].process().resume()?;
        let followed = wait_until_followed(cluster, stale)?;
        std::thread::sleep(STALE_STAY);
        let memory = cluster.memory_of(&function[0])?;
        let taken_back = memory.iter().filter(|memory| **memory != Some(NEW_MEMORY_MB)).count();
        eprintln!("stale play {play}: {followed} followed control-{stale}, {taken_back} lost the change");
        outcome.followed_stale += followed;
        outcome.taken_back += taken_back;
        for other in others {
            cluster.controls[other].process().resume()?;
        }
        std::thread::sleep(SETTLE);
    }
    Ok(outcome)
}

/// Waits until all hollow followers follow a control node; how many do in the end.
fn wait_until_followed(cluster: &mut Cluster, control: usize) -> Result<usize, ScaleError> {
    let address = cluster.feed_address(control);
    let began = Instant::now();
    loop {
        let summaries = cluster.summaries()?;
        let follows = summaries.iter().filter(|one| one.is_following && one.control == Some(address));
        let followed = follows.count();
        if followed == summaries.len() || began.elapsed() > MOVE_LIMIT {
            return Ok(followed);
        }
        std::thread::sleep(POLL);
    }
}
