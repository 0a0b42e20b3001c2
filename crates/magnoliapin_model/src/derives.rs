//! Macros that declare types with the derive lists shared by the whole workspace.

/// Declares plain data types with the common derive set.
///
/// Every item derives `Clone`, `Debug`, `PartialEq`, `Serialize` and `Deserialize`. Attributes on
/// the item add further derives.
///
/// ```
/// magnoliapin_model::plain_data! {
///     /// A point on a plan.
///     #[derive(Default)]
///     pub struct PlanPoint {
///         /// Distance from the left edge, in pixels.
///         pub x: u32,
///     }
/// }
/// assert_eq!(PlanPoint::default().x, 0);
/// ```
#[macro_export]
macro_rules! plain_data {
    ($($(#[$meta:meta])* $visibility:vis $kind:ident $name:ident $body:tt)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
            $(#[$meta])*
            $visibility $kind $name $body
        )+
    };
}

/// Declares `Copy` identifiers that wrap a [`ShortName`](crate::ShortName).
///
/// Each gets the common derive set, `Display`, `FromStr` and a `new` that validates the name.
#[macro_export]
macro_rules! name_id {
    ($($(#[$meta:meta])* $name:ident;)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name($crate::ShortName);

            impl $name {
                /// Validates `name` and creates an identifier from it.
                ///
                /// # Errors
                ///
                /// Returns a [`NameError`]($crate::NameError) if `name` is empty, too long, or
                /// contains a character other than a lower-case letter, a digit, `-`, `_` or `.`.
                pub fn new(name: &str) -> Result<Self, $crate::NameError> {
                    $crate::ShortName::new(name).map(Self)
                }

                /// Returns the name as text.
                pub fn as_str(&self) -> &str {
                    self.0.as_str()
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    formatter.pad(self.as_str())
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::NameError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    Self::new(text)
                }
            }
        )+
    };
}

/// Declares `Copy` newtypes over an unsigned number, with `Display` and `FromStr`.
#[macro_export]
macro_rules! number_type {
    ($($(#[$meta:meta])* $name:ident($inner:ty);)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub $inner);

            impl std::fmt::Display for $name {
                fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    std::fmt::Display::fmt(&self.0, formatter)
                }
            }

            impl std::str::FromStr for $name {
                type Err = std::num::ParseIntError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    text.parse().map(Self)
                }
            }
        )+
    };
}

/// Declares `Copy` 64-bit or 128-bit identifiers displayed as fixed-width hexadecimal text.
///
/// Human-readable formats carry the text; binary formats carry the number, which is shorter.
#[macro_export]
macro_rules! hex_id {
    ($($(#[$meta:meta])* $name:ident($inner:ty);)+) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
            pub struct $name(pub $inner);

            impl std::fmt::Display for $name {
                fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    write!(formatter, "{:0width$x}", self.0, width = <$inner>::BITS as usize / 4)
                }
            }

            impl std::str::FromStr for $name {
                type Err = std::num::ParseIntError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    <$inner>::from_str_radix(text, 16).map(Self)
                }
            }

            impl serde::Serialize for $name {
                fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                    if serializer.is_human_readable() {
                        serializer.collect_str(self)
                    } else {
                        self.0.serialize(serializer)
                    }
                }
            }

            impl<'de> serde::Deserialize<'de> for $name {
                fn deserialize<D: serde::Deserializer<'de>>(
                    deserializer: D,
                ) -> Result<Self, D::Error> {
                    if deserializer.is_human_readable() {
                        let text = String::deserialize(deserializer)?;
                        text.parse().map_err(serde::de::Error::custom)
                    } else {
                        <$inner>::deserialize(deserializer).map(Self)
                    }
                }
            }
        )+
    };
}
