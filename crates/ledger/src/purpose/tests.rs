use super::*;

#[test]
fn the_table_is_in_order_and_its_shares_add_up() {
    for (index, purpose) in Purpose::all().enumerate() {
        assert_eq!(purpose as usize, index, "{purpose:?}");
        assert_eq!(Purpose::named(purpose.name()), Some(purpose));
    }
    for share in [|terms: &Terms| terms.daemon, |terms: &Terms| terms.platform] {
        let sum: f64 = TABLE.iter().map(share).sum();
        assert!((sum - 100.0).abs() < 1e-9, "{sum}");
    }
}
