//! Name types, each of which wraps a shared immutable string.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Declares a name type that wraps a shared immutable string.
macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from a string slice.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

shared_name! {
    /// Name of a workspace.
    WorkspaceName
}
shared_name! {
    /// Name of a model, which groups versions that serve one API.
    ModelName
}
shared_name! {
    /// Name of a version, unique within its model.
    VersionName
}
shared_name! {
    /// Name of a pool of backend servers.
    PoolName
}
shared_name! {
    /// Name of a backend server.
    ServerName
}
shared_name! {
    /// Name of an entry host.
    HostName
}
shared_name! {
    /// Name of a failure domain.
    DomainName
}
shared_name! {
    /// Name of a task, which is the kind of work that a request asks for.
    TaskName
}
shared_name! {
    /// Name of a plain service.
    ServiceName
}
shared_name! {
    /// Name of a roll-out.
    RolloutName
}
shared_name! {
    /// Name of a session, chosen by the entry host that starts it.
    SessionName
}
shared_name! {
    /// Name of a lease.
    LeaseName
}
