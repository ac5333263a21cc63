//! Tests of the structure of the source tree.

mod layers;
