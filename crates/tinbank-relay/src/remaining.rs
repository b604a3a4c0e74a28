//! Serialization of a deadline as the time left, since the clocks of hosts differ.

use std::time::{Duration, Instant};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Writes the milliseconds left.
pub fn serialize<S: Serializer>(
    deadline: &Option<Instant>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let now = Instant::now();
    let left = deadline.filter(|it| *it > now).map(|it| it - now);
    let left_ms = left.map(|it| it.as_millis() as u32);
    left_ms.serialize(serializer)
}

/// Reads the milliseconds left and turns them into a deadline from now.
pub fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Option<Instant>, D::Error> {
    let left_ms = Option::<u32>::deserialize(deserializer)?;
    Ok(left_ms.map(|it| Instant::now() + Duration::from_millis(it.into())))
}
