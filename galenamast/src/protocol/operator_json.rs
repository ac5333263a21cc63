//! JSON form of the operator protocol's enumerations.

use std::fmt::Debug;

use serde::Serializer;

/// Serialises an enumeration field as the snake-case name of its value; `unknown` for a number
/// without a name.
///
/// # Errors
///
/// Returns the serializer's own errors.
#[allow(clippy::trivially_copy_pass_by_ref)]
pub fn enum_name<E, S>(value: &i32, serializer: S) -> Result<S::Ok, S::Error>
where
    E: TryFrom<i32> + Debug,
    S: Serializer,
{
    let name = E::try_from(*value).map_or_else(|_| "unknown".to_owned(), |kind| snake_name(&kind));
    serializer.serialize_str(&name)
}

/// Returns the snake-case name of an enumeration value.
///
/// ```
/// use galenamast::generated::operator::RolloutPhase;
/// use galenamast::protocol::operator_json::snake_name;
///
/// assert_eq!(snake_name(&RolloutPhase::Running), "running");
/// ```
pub fn snake_name(value: &impl Debug) -> String {
    let mut name = String::new();
    for character in format!("{value:?}").chars() {
        if character.is_ascii_uppercase() && !name.is_empty() {
            name.push('_');
        }
        name.push(character.to_ascii_lowercase());
    }
    name
}
