//! A stable hash: the same on every node and in every version.

/// FNV-1a over `bytes` (G. Fowler, L. C. Noll, K.-P. Vo, 1991).
pub fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mut hash = OFFSET_BASIS;
    for byte in bytes {
        hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    hash
}
