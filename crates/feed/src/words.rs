//! Text form of lists of 64-bit words: base64 of their big-endian bytes.
use base64::engine::general_purpose::STANDARD;
use base64::Engine;

/// Encodes words.
pub(crate) fn encode(words: impl IntoIterator<Item = u64>) -> String {
    let bytes: Vec<u8> = words.into_iter().flat_map(u64::to_be_bytes).collect();
    STANDARD.encode(bytes)
}

/// Decodes words; `None` if the text is not base64 of whole words.
pub(crate) fn decode(text: &str) -> Option<Vec<u64>> {
    let bytes = STANDARD.decode(text).ok()?;
    let (words, rest) = bytes.as_chunks::<{ size_of::<u64>() }>();
    rest.is_empty().then(|| words.iter().map(|word| u64::from_be_bytes(*word)).collect())
}
