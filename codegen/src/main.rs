//! Regenerates the committed operator protocol code.

use std::error::Error;

use galenamast_codegen::{committed_directory, generate_into};

fn main() -> Result<(), Box<dyn Error>> {
    generate_into(&committed_directory())
}
