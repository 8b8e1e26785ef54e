//! A model of a worker connection's states, against which random steps are checked.
use corkbay_node::state::exchanges::{ConnectionExchanges, Stage};
use proptest::prelude::*;
use std::collections::BTreeMap;

const STREAMS: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    Open(u64),
    Begin(u64),
    Whole(u64),
    Answered(u64),
    GiveUp(u64),
    CloseIdle,
    Close,
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0u64..5;
    prop_oneof![
        4 => id.clone().prop_map(Step::Open),
        3 => id.clone().prop_map(Step::Begin),
        3 => id.clone().prop_map(Step::Whole),
        2 => id.clone().prop_map(Step::Answered),
        2 => id.prop_map(Step::GiveUp),
        1 => Just(Step::CloseIdle),
        1 => Just(Step::Close),
    ]
}

proptest! {
    /// Guards what hangs on a connection's states: each exchange ends exactly once, no answer reaches a
    /// later attempt under the id of one that ended, and what was never begun is told as never sent.
    #[test]
    fn random_steps_agree_with_the_model(steps in proptest::collection::vec(step(), 0..60)) {
        let mut exchanges = ConnectionExchanges::new(STREAMS);
        let mut open: BTreeMap<u64, (Stage, usize)> = BTreeMap::new();
        let (mut spent, mut closed, mut opened, mut ended) = (Vec::new(), false, 0, 0);
        for step in steps {
            match step {
                Step::Open(id) => {
                    let fits = !closed && open.len() < STREAMS && !open.contains_key(&id) && !spent.contains(&id);
                    prop_assert_eq!(exchanges.open(id, opened), if fits { Ok(()) } else { Err(opened) });
                    if fits {
                        open.insert(id, (Stage::Queued, opened));
                        opened += 1;
                    }
                }
                Step::Begin(id) => {
                    let queued = open.get_mut(&id).filter(|entry| entry.0 == Stage::Queued);
                    prop_assert_eq!(exchanges.begin(id), queued.is_some());
                    queued.into_iter().for_each(|entry| entry.0 = Stage::Writing);
                }
                Step::Whole(id) => {
                    exchanges.mark_written(id);
                    let writing = open.get_mut(&id).filter(|entry| entry.0 == Stage::Writing);
                    writing.into_iter().for_each(|entry| entry.0 = Stage::Written);
                }
                Step::Answered(id) => {
                    let begun = open.get(&id).is_some_and(|entry| entry.0 != Stage::Queued);
                    let expected = if begun { open.remove(&id) } else { None };
                    spent.extend(expected.map(|_| id));
                    ended += usize::from(begun);
                    prop_assert_eq!(exchanges.answered(id), expected.map(|entry| entry.1));
                }
                Step::GiveUp(id) => {
                    let expected = open.remove(&id);
                    ended += usize::from(expected.is_some());
                    spent.extend(expected.filter(|entry| entry.0 != Stage::Queued).map(|_| id));
                    prop_assert_eq!(exchanges.give_up(id), expected);
                }
                Step::CloseIdle => {
                    closed |= open.is_empty();
                    prop_assert_eq!(exchanges.close_idle(), closed);
                }
                Step::Close => {
                    closed = true;
                    let mut left = exchanges.close();
                    left.sort_by_key(|entry| entry.1);
                    let mut expected: Vec<_> = std::mem::take(&mut open).into_values().collect();
                    expected.sort_by_key(|entry| entry.1);
                    ended += left.len();
                    prop_assert_eq!(left, expected);
                }
            }
            prop_assert_eq!(exchanges.is_closed(), closed);
            prop_assert_eq!(opened, ended + open.len());
        }
    }
}
