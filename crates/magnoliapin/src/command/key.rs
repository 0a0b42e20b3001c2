//! Keys of teams: `key new|list|withdraw`.

use indexmap::IndexMap;
use magnoliapin_model::KeyHash;
use magnoliapin_model::KeyId;
use magnoliapin_model::KeySecret;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;
use magnoliapin_wire::ConfigChange;
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::Serialize;
use toml::Table;
use toml::Value;

use crate::command::config;
use crate::command::refused;
use crate::command::CommandContext;
use crate::command::CommandResult;
use crate::flags;

/// Generates a key and prints its secret and the line for the configuration document.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the system
/// provides no random numbers.
pub(crate) fn new(context: &CommandContext, flags: &flags::New) -> CommandResult {
    let mut generator = StdRng::try_from_os_rng()
        .map_err(|error| refused(format!("the system provides no random numbers: {error}")))?;
    let secret = KeySecret::new(&mut generator);
    let key = NewKey { name: flags.name, secret: secret.expose().to_owned(), hash: secret.hash() };
    context.print(&key, NewKey::text)
}

/// Lists the names of the keys in the configuration in force.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if no entry responds.
pub(crate) async fn list(context: &CommandContext, flags: &flags::List) -> CommandResult {
    let view = config::read_config(context).await?;
    let mut keys = Vec::new();
    for (name, text) in &view.sections {
        let SectionName::Team(team) = name else {
            continue;
        };
        if flags.team.is_none_or(|selected| selected == *team) {
            let names = read_keys(text).into_iter().map(|(name, _)| name);
            keys.extend(names.map(|name| KeyLine { team: *team, name }));
        }
    }
    context.print(&keys, |keys| keys.iter().map(KeyLine::text).collect())
}

/// Removes a key from the configuration.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if there is no such
/// key or the change is refused.
pub(crate) async fn withdraw(context: &CommandContext, flags: &flags::Withdraw) -> CommandResult {
    let view = config::read_config(context).await?;
    let section = SectionName::Team(flags.team);
    let Some(text) = view.sections.get(&section).and_then(|text| remove_key(text, flags.name))
    else {
        let message = format!("team {} has no key {}", flags.team, flags.name);
        return Err(refused(message));
    };
    let sections = IndexMap::from([(section, Some(text))]);
    let change = ConfigChange { base: Some(view.version), sections, whole: false };
    let applied = config::send_change(context, &change).await?;
    context.print(&applied, |applied| {
        format!(
            "key {} of team {} is withdrawn by version {}",
            flags.name, flags.team, applied.version
        )
    })
}

/// A newly generated key.
#[derive(Serialize)]
struct NewKey {
    name: KeyId,
    secret: String,
    hash: KeyHash,
}

impl NewKey {
    fn text(&self) -> String {
        format!(
            "secret, shown only now:\n  {}\nline for [teams.<team>.keys]:\n  {} = \"{}\"\n",
            self.secret, self.name, self.hash
        )
    }
}

#[derive(Serialize)]
struct KeyLine {
    team: TeamId,
    name: KeyId,
}

impl KeyLine {
    fn text(&self) -> String {
        format!("{}  {}\n", self.team, self.name)
    }
}

fn read_keys(section: &str) -> Vec<(KeyId, Value)> {
    let table = section.parse::<Table>().unwrap_or_default();
    let Some(Value::Table(keys)) = table.get("keys") else {
        return Vec::new();
    };
    let parsed = keys.iter().filter_map(|(name, hash)| Some((name.parse().ok()?, hash.clone())));
    parsed.collect()
}

/// Returns the section without the key, or `None` if it has no such key.
fn remove_key(section: &str, name: KeyId) -> Option<String> {
    let mut table = section.parse::<Table>().ok()?;
    table.get_mut("keys")?.as_table_mut()?.remove(name.as_str())?;
    toml::to_string(&table).ok()
}
