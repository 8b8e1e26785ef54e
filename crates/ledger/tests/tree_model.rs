//! Compares a tree of accounts with a model that sums up what is held, over random steps.
use corkbay_ledger::{Account, Reservation};
use proptest::prelude::*;

const ACCOUNTS: usize = 6;
/// Parent of each account, the root first.
const PARENTS: [usize; ACCOUNTS] = [0, 0, 0, 1, 1, 3];

#[derive(Clone, Debug)]
enum Step {
    Reserve { at: usize, bytes: usize },
    Resize { which: usize, bytes: usize },
    Drop { which: usize },
    Cap { at: usize, cap: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let (at, which, bytes) = (0..ACCOUNTS, 0usize..64, 0usize..40);
    prop_oneof![
        4 => (at.clone(), bytes.clone()).prop_map(|(at, bytes)| Step::Reserve { at, bytes }),
        2 => (which.clone(), bytes).prop_map(|(which, bytes)| Step::Resize { which, bytes }),
        3 => which.prop_map(|which| Step::Drop { which }),
        1 => (at, 0usize..120).prop_map(|(at, cap)| Step::Cap { at, cap }),
    ]
}

/// What is held, tracked independently of the accounts' counters.
#[derive(Default)]
struct Model {
    held: Vec<(usize, usize)>,
    caps: [usize; ACCOUNTS],
}

impl Model {
    fn path_to_root(at: usize) -> Vec<usize> {
        let mut path_to_root = vec![at];
        while path_to_root[path_to_root.len() - 1] != 0 {
            path_to_root.push(PARENTS[path_to_root[path_to_root.len() - 1]]);
        }
        path_to_root
    }

    fn used(&self, at: usize) -> usize {
        self.held.iter().filter(|held| Model::path_to_root(held.0).contains(&at)).map(|held| held.1).sum()
    }

    fn fits(&self, at: usize, bytes: usize) -> bool {
        bytes == 0
            || Model::path_to_root(at).into_iter().all(|above| self.used(above) + bytes <= self.caps[above])
    }
}

proptest! {
    /// Guards against bytes that are counted twice, lost when a reservation fails at an ancestor, or accepted
    /// over a cap.
    #[test]
    fn the_tree_counts_what_is_held(steps in proptest::collection::vec(step(), 1..120)) {
        let mut model = Model { caps: [100, 80, 60, 50, 40, 30], ..Model::default() };
        let mut accounts = vec![Account::root("0", model.caps[0])];
        for at in 1..ACCOUNTS {
            let child = accounts[PARENTS[at]].child(&at.to_string(), model.caps[at]);
            accounts.push(child);
        }
        let mut held: Vec<Reservation> = Vec::new();
        for step in steps {
            match step {
                Step::Reserve { at, bytes } => {
                    let end = accounts[at].reserve(bytes);
                    prop_assert_eq!(end.is_ok(), model.fits(at, bytes));
                    if let Ok(reservation) = end {
                        held.push(reservation);
                        model.held.push((at, bytes));
                    }
                }
                Step::Resize { which, bytes } if !held.is_empty() => {
                    let which = which % held.len();
                    let (at, old) = model.held[which];
                    let may = model.fits(at, bytes.saturating_sub(old));
                    prop_assert_eq!(held[which].resize(bytes).is_ok(), may);
                    model.held[which].1 = if may { bytes } else { old };
                }
                Step::Drop { which } if !held.is_empty() => {
                    let which = which % held.len();
                    drop(held.swap_remove(which));
                    model.held.swap_remove(which);
                }
                Step::Cap { at, cap } => {
                    accounts[at].set_cap(cap);
                    model.caps[at] = cap;
                }
                _ => {}
            }
            for (at, account) in accounts.iter().enumerate() {
                prop_assert_eq!(account.used(), model.used(at));
                prop_assert!(account.peak() >= account.used());
            }
        }
        drop(held);
        prop_assert!(accounts.iter().all(|account| account.used() == 0));
    }
}

/// Guards the counters against threads that reserve and release at the same time.
#[test]
fn threads_at_once_leave_nothing_behind_and_pass_no_cap() {
    let root = Account::root("all", 1000);
    let parts: Vec<Account> = (0..4).map(|part| root.child(&part.to_string(), 400)).collect();
    std::thread::scope(|scope| {
        for part in &parts {
            scope.spawn(|| {
                let mut held = std::collections::VecDeque::new();
                for round in 0..20_000usize {
                    held.extend(part.reserve(round % 97).ok());
                    if held.len() > 8 {
                        held.pop_front();
                    }
                }
            });
        }
    });
    assert_eq!(root.used() + parts.iter().map(Account::used).sum::<usize>(), 0);
    assert!(root.peak() <= 1000 && parts.iter().all(|part| part.peak() <= 400));
}
