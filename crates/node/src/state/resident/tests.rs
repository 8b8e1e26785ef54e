use super::*;

#[test]
fn touched_memory_is_reported() {
    let before = resident_bytes();
    let held = vec![1u8; 32 << 20];
    let grown = resident_bytes().saturating_sub(before);
    assert!(before > 0 && grown > 24 << 20, "{before} and {grown} more for {}", held.len());
}
