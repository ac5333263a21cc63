//! Parameters of the object API's listings.

/// Selects objects of one kind by name. Listings are sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObjectQuery {
    /// Kind of the objects.
    pub kind: String,
    /// Prefix of the names; empty for all names.
    pub prefix: String,
    /// Name after which the listing starts; empty for the first page.
    pub after: String,
    /// Largest number of objects to return; `None` to send no limit.
    pub limit: Option<usize>,
}
