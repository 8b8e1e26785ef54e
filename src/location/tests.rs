use super::*;
use crate::interface::ZoneId;

/// Guards against a keyed request that runs in two zones or cells because both are unknown.
#[test]
fn only_known_places_share_a_record() {
    let at = |zone: Option<u64>, cell: Option<u64>| Location { zone: zone.map(ZoneId), cell };
    let places =
        [at(Some(0), Some(0)), at(Some(0), None), at(None, Some(0)), at(None, None), at(Some(1), Some(1))];
    let sharing = |group| {
        let pairs = (0..places.len()).flat_map(|one| (one..places.len()).map(move |other| (one, other)));
        pairs.filter(|(one, other)| places[*one].shares_record(places[*other], group)).collect::<Vec<_>>()
    };
    assert_eq!(sharing(Group::Zone), [(0, 0), (0, 1), (1, 1), (4, 4)]);
    assert_eq!(sharing(Group::Cell), [(0, 0), (0, 2), (2, 2), (4, 4)]);
    assert_eq!(sharing(Group::All).len(), places.len() * (places.len() + 1) / 2);
}
