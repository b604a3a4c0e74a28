use super::{BLOCK, Cache};

fn prompt(start: &str, blocks: usize) -> Vec<String> {
    (0..blocks * BLOCK)
        .map(|index| format!("{start}{index}"))
        .collect()
}

#[test]
fn a_shared_prefix_is_prefilled_once() {
    let mut cache = Cache::new(100 * BLOCK);
    let first = prompt("a", 4);
    let mut second = first.clone();
    second.extend(prompt("b", 1));

    let missing = [
        cache.admit(&first),
        cache.admit(&second),
        cache.admit(&second),
    ];

    assert_eq!(missing, [4 * BLOCK, BLOCK, 0]);
}

#[test]
fn the_least_recently_used_prefix_leaves_a_full_cache() {
    let mut cache = Cache::new(4 * BLOCK);
    let (old, new) = (prompt("a", 2), prompt("b", 3));

    cache.admit(&old);
    cache.admit(&new);

    assert_eq!(cache.admit(&new), 0);
    assert_eq!(cache.admit(&old), 2 * BLOCK);
}
