//! FNV-1a hashes must match the published test vectors, since routers of different versions must agree on them.

use ladderpass_routing::fnv1a;

#[test]
fn hashes_match_the_published_test_vectors() {
    assert_eq!(fnv1a::hash(b""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(fnv1a::hash(b"a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(fnv1a::hash(b"foobar"), 0x8594_4171_f739_67e8);
}

#[test]
fn a_nonzero_seed_changes_the_hash_and_a_zero_seed_does_not() {
    assert_eq!(fnv1a::hash_with_seed(0, b"foobar"), fnv1a::hash(b"foobar"));
    assert_ne!(fnv1a::hash_with_seed(1, b"foobar"), fnv1a::hash(b"foobar"));
}
