//! Checks on the dependencies between the layers of the source tree.

mod layers;
