//! Helpers that run the program in tests.
#![allow(dead_code, reason = "each test file uses some of the helpers")]
#![allow(unreachable_pub, reason = "each test file is a separate crate")]

pub mod http;
pub mod site;

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

/// Exit code and output of a program run.
pub struct RunOutcome {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

impl RunOutcome {
    fn new(output: &Output) -> Self {
        Self {
            code: output.status.code().expect("the program exits without a signal"),
            output: String::from_utf8_lossy(&output.stdout).into_owned(),
            errors: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Returns a command for the program, without the environment variables that configure it.
pub fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_magnoliapin"));
    command.env_remove("MAGNOLIAPIN_ENTRY").env_remove("MAGNOLIAPIN_KEY");
    command.env_remove("MAGNOLIAPIN_CA");
    command
}

/// Runs the program until it exits.
pub fn run(arguments: &[&str]) -> RunOutcome {
    let output = program().args(arguments).output().expect("the program starts");
    RunOutcome::new(&output)
}

/// Runs the program with these environment variables until it exits.
pub fn run_with(variables: &[(&str, &str)], arguments: &[&str]) -> RunOutcome {
    let mut command = program();
    command.envs(variables.iter().copied()).args(arguments);
    RunOutcome::new(&command.output().expect("the program starts"))
}

/// Writes a file to the scratch folder of this test process and returns its path.
pub fn scratch_file(name: &str, text: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(std::process::id().to_string());
    fs::create_dir_all(&folder).expect("the scratch folder can be created");
    let path = folder.join(name);
    fs::write(&path, text).expect("the scratch file can be written");
    path.to_str().expect("the path is text").to_owned()
}
