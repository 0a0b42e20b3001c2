//! Help of one subcommand, extracted from the help of the whole command line.

const PROGRAM: &str = "magnoliapin";

/// Returns the section of `help` about the subcommand in `arguments`, or the whole help if they
/// contain no subcommand.
pub(crate) fn subcommand_help<'a>(help: &'a str, arguments: &[String]) -> &'a str {
    let mut title = PROGRAM.to_owned();
    for word in arguments.iter().filter(|word| !word.starts_with('-')) {
        let candidate = format!("{title} {word}");
        if find_title(help, &candidate).is_none() {
            break;
        }
        title = candidate;
    }
    if title == PROGRAM {
        return help;
    }
    let start = find_title(help, &title).unwrap_or_default();
    let end = find_end(help, start, &title);
    help[start..end].trim_end()
}

/// Returns the offset of the line that consists of `title` only.
fn find_title(help: &str, title: &str) -> Option<usize> {
    let line = format!("\n{title}\n");
    help.find(&line).map(|found| found + 1)
}

/// Returns the end offset of the subcommand at `start`, including its nested subcommands.
fn find_end(help: &str, start: usize, title: &str) -> usize {
    let nested_prefix = format!("{title} ");
    let mut offset = start;
    for line in help[start..].split_inclusive('\n') {
        let is_title = line.starts_with(PROGRAM) && offset > start;
        if is_title && !line.starts_with(&nested_prefix) {
            return offset;
        }
        offset += line.len();
    }
    help.len()
}
