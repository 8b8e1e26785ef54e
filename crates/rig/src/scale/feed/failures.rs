//! Injected faults of control nodes: one is lost during a change, or resumes with stale state.
use super::cluster::{configure, Cluster, CONTROLS};
use super::{NEW_MEMORY_MB, OLD_MEMORY_MB};
use crate::scale::process::DaemonProcess;
use crate::scale::ScaleError;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Longest time between a change and the loss of a control node, in milliseconds.
const MAX_LOSS_OFFSET_MS: u64 = 30;
/// Time after the return of a control node by which it is connected to followers and peers again.
const SETTLE: Duration = Duration::from_secs(2);
/// Longest wait until followers have moved to the only running control node.
const MOVE_LIMIT: Duration = Duration::from_secs(20);
/// Time that followers spend with a stale control node before they are checked.
const STALE_STAY: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How a control node is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Killed,
    Suspended,
}

/// Times measured while control nodes were lost.
#[derive(Clone, Debug, Default)]
pub struct LossOutcome {
    /// The time until each change was in force at all followers.
    pub until_in_force: Vec<Duration>,
    /// The time from each return of a control node until it had the change as well.
    pub until_caught_up: Vec<Duration>,
}

/// Makes changes at one control node; the one with the most followers is killed or suspended within milliseconds
/// before or after each change.
pub fn control_lost_at_a_change(
    cluster: &mut Cluster,
    repetitions: usize,
    seed: u64,
) -> Result<LossOutcome, ScaleError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut outcome = LossOutcome::default();
    for repetition in 0..repetitions {
        let (lost, followers) = busiest_control(cluster)?;
        let writer = (lost + rng.random_range(1..CONTROLS)) % CONTROLS;
        let loss = if rng.random() { Loss::Killed } else { Loss::Suspended };
        let lost_first: bool = rng.random();
        let offset = Duration::from_millis(rng.random_range(0..=MAX_LOSS_OFFSET_MS));
        let function = format!("lost-{repetition}");
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
            "repetition {repetition}: control-{lost} with {followers} followers {loss:?}, first: {lost_first}, \
             in force after {longest:?}"
        );
        outcome.until_in_force.push(longest);
        let returned_at = Instant::now();
        match loss {
            Loss::Killed => cluster.controls[lost].restart()?,
            Loss::Suspended => cluster.controls[lost].process().resume()?,
        }
        cluster.wait_until_controls_know(&function)?;
        outcome.until_caught_up.push(returned_at.elapsed());
        std::thread::sleep(SETTLE);
    }
    Ok(outcome)
}

/// The control node that most headless followers follow, and how many do. One that came back has
/// few, as followers stay with the control node that they moved to.
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

/// How followers reacted to a control node that was suspended during a change.
#[derive(Clone, Copy, Debug, Default)]
pub struct StaleOutcome {
    /// Number of followers that followed it, over all repetitions.
    pub followed_stale: usize,
    /// Number of followers at which the change was undone or missing, over all repetitions.
    pub taken_back: usize,
}

/// Suspends a control node, changes a function, then resumes it while the others are suspended, so that followers find
/// only the stale one.
pub fn stale_control_wakes(cluster: &mut Cluster, repetitions: usize) -> Result<StaleOutcome, ScaleError> {
    let mut outcome = StaleOutcome::default();
    for repetition in 0..repetitions {
        let stale = repetition % CONTROLS;
        let others = [(stale + 1) % CONTROLS, (stale + 2) % CONTROLS];
        let function = [format!("stale-{repetition}")];
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
        eprintln!("stale repetition {repetition}: {followed} followed control-{stale}, {taken_back} lost the change");
        outcome.followed_stale += followed;
        outcome.taken_back += taken_back;
        for other in others {
            cluster.controls[other].process().resume()?;
        }
        std::thread::sleep(SETTLE);
    }
    Ok(outcome)
}

/// Waits until all headless followers follow a control node, or until the limit; returns how many do.
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
        std::thread::sleep(POLL_INTERVAL);
    }
}
