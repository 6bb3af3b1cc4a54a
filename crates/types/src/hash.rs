//! A hash on which all nodes agree, whatever their version and architecture.

/// Returns the 64-bit FNV-1a hash of the bytes, followed by the finalizer of `SplitMix64`. It is not
/// meant to withstand deliberate collisions.
#[must_use]
pub fn stable_hash(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in bytes {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
