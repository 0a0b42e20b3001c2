//! The one program of magnoliapin: entries, stand-ins, the demo and the operators' commands.

fn main() {}
