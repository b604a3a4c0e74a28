//! Finds the name that a misspelt one was meant to be.

/// The closest of the names, when it is close enough to be meant.
pub(crate) fn nearest<'a>(written: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    /// Longer names are not compared, so that a hostile file costs little.
    const LONGEST: usize = 64;
    if written.len() > LONGEST {
        return None;
    }
    let allowed = (written.chars().count() / 3).max(1);
    names
        .map(|name| (distance(written, name), name))
        .filter(|(distance, _)| *distance <= allowed)
        .min()
        .map(|(_, name)| name)
}

/// Levenshtein distance in characters, ignoring case.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.to_lowercase().chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, from) in left.to_lowercase().chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, to) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
