//! Help for one subcommand, cut out of the help of the whole command line.

const PROGRAM: &str = "magnoliapin";

/// Returns the part of `help` that belongs to the subcommand that `arguments` name.
///
/// Returns the whole help if they name none.
pub(crate) fn subcommand_help<'a>(help: &'a str, arguments: &[String]) -> &'a str {
    let mut title = PROGRAM.to_owned();
    for word in arguments.iter().filter(|word| !word.starts_with('-')) {
        let longer = format!("{title} {word}");
        if find_title(help, &longer).is_none() {
            break;
        }
        title = longer;
    }
    if title == PROGRAM {
        return help;
    }
    let start = find_title(help, &title).unwrap_or_default();
    let end = find_end(help, start, &title);
    help[start..end].trim_end()
}

/// Finds the line that holds just `title`.
fn find_title(help: &str, title: &str) -> Option<usize> {
    let line = format!("\n{title}\n");
    help.find(&line).map(|found| found + 1)
}

/// Finds the next subcommand that is no part of the one at `start`.
fn find_end(help: &str, start: usize, title: &str) -> usize {
    let inner = format!("{title} ");
    let mut offset = start;
    for line in help[start..].split_inclusive('\n') {
        let is_title = line.starts_with(PROGRAM) && offset > start;
        if is_title && !line.starts_with(&inner) {
            return offset;
        }
        offset += line.len();
    }
    help.len()
}
