//! Names that clients, the operator or the platform assign.

/// Declares identifiers that hold arbitrary text and are cheap to clone.
macro_rules! text_id {
    ($($(#[$meta:meta])* $name:ident;)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(std::sync::Arc<str>);

            impl $name {
                /// Creates a name from a text.
                pub fn new(text: &str) -> Self {
                    Self(text.into())
                }

                /// Returns the name as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl Default for $name {
                fn default() -> Self {
                    Self::new("")
                }
            }

            impl std::borrow::Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    formatter.pad(&self.0)
                }
            }

            impl std::str::FromStr for $name {
                type Err = std::convert::Infallible;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    Ok(Self::new(text))
                }
            }
        )+
    };
}

text_id! {
    /// Names a queue of jobs.
    QueueName;
    /// Names a pool of instances.
    PoolName;
    /// Names a team.
    TeamName;
    /// Names an availability zone.
    ZoneName;
    /// Names an instance, the machine that hosts one target at a time.
    InstanceName;
    /// Names a target as it is registered; a restarted target may keep its name.
    TargetName;
    /// Names a node, which is a process of the system.
    NodeName;
}
