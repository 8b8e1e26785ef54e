use super::*;

#[test]
fn the_table_is_in_order_and_its_shares_add_up() {
    for (index, purpose) in Purpose::all().enumerate() {
        assert_eq!(purpose as usize, index, "{purpose:?}");
        assert_eq!(Purpose::named(purpose.name()), Some(purpose));
    }
    for share in [
        |settings: &PurposeSettings| settings.daemon_percent,
        |settings: &PurposeSettings| settings.platform_percent,
    ] {
        let sum: f64 = TABLE.iter().map(share).sum();
        assert!((sum - 100.0).abs() < 1e-9, "{sum}");
    }
}
