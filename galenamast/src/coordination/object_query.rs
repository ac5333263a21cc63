//! Parameters of a listing of the object API.

/// Selects objects of one kind by name, in the order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObjectQuery {
    /// Kind of the objects.
    pub kind: String,
    /// Text that the names start with.
    pub prefix: String,
    /// Name after which the listing starts.
    pub after: String,
    /// Greatest number of objects.
    pub limit: Option<usize>,
}
