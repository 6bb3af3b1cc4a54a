//! The body of an answer, which its receiver can foretell and so check.

/// The offset basis of 64-bit FNV-1a.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a digest.
#[must_use]
pub fn digest(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(FNV_BASIS, step)
}

/// The body of the answer to the request `id`: a line with the id, then filler drawn from it.
///
/// The body has `bytes` bytes, or as many as the first line needs.
#[must_use]
pub fn body(id: &str, bytes: usize) -> Vec<u8> {
    let mut buf = Vec::with_capacity(bytes.max(id.len() + 4));
    buf.extend_from_slice(b"id=");
    buf.extend_from_slice(id.as_bytes());
    buf.push(b'\n');
    let mut rng = fastrand::Rng::with_seed(digest(id.as_bytes()));
    while buf.len() < bytes {
        let word = rng.u64(..).to_le_bytes();
        let take = word.len().min(bytes - buf.len());
        buf.extend_from_slice(&word[..take]);
    }
    buf
}
