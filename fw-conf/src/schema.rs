//! Macros that generate a settings struct, its defaults, parser and description from one table.

/// Whether a key is required, from the optional `required` after its codec.
macro_rules! presence {
    () => {
        $crate::key::Presence::Optional
    };
    (required) => {
        $crate::key::Presence::Required
    };
}

/// Generates the struct of a section. A row is `key: type = default, codec;` or, for a required
/// key, `key: type = default, codec, required;`.
macro_rules! section {
    (
        $(#[doc = $about:literal])+
        $name:ident in $section:literal {
            $(
                $(#[doc = $doc:literal])+
                $key:ident: $type:ty = $default:expr, $codec:expr $(, $presence:ident)?;
            )*
        }
    ) => {
        $(#[doc = $about])+
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $(
                $(#[doc = $doc])+
                pub $key: $type,
            )*
        }

        impl Default for $name {
            fn default() -> Self {
                Self {
                    $($key: $default,)*
                }
            }
        }

        impl $name {
            pub(crate) fn describe() -> $crate::key::Section {
                $crate::key::Section {
                    name: $section,
                    doc: $crate::key::join_lines(&[$($about),+]),
                    keys: vec![$(
                        $crate::key::Key::describe(
                            $section,
                            stringify!($key),
                            &$codec,
                            &$default,
                            $crate::schema::presence!($($presence)?),
                            &[$($doc),+],
                        ),
                    )*],
                }
            }

            pub(crate) fn read(reader: &mut $crate::reader::Reader) -> Self {
                Self {
                    $(
                        $key: reader.take(
                            $section,
                            stringify!($key),
                            &$codec,
                            $default,
                            $crate::schema::presence!($($presence)?),
                        ),
                    )*
                }
            }
        }
    };
}

/// Generates the struct of a whole file from its sections. The type's `conflicts` method returns
/// the values that conflict with each other.
macro_rules! settings {
    (
        $(#[doc = $about:literal])+
        $name:ident {
            $(
                $(#[doc = $doc:literal])+
                $field:ident: $type:path;
            )*
        }
    ) => {
        $(#[doc = $about])+
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct $name {
            $(
                $(#[doc = $doc])+
                pub $field: $type,
            )*
        }

        impl $name {
            /// Describes every section and key of the file.
            pub fn describe() -> Vec<$crate::key::Section> {
                vec![$(<$type>::describe()),*]
            }

            /// Reads the file at `path`.
            ///
            /// # Errors
            ///
            /// All problems of the file.
            pub fn load(path: &std::path::Path) -> Result<Self, $crate::error::Errors> {
                let file = path.display().to_string();
                match std::fs::read(path) {
                    Ok(text) => Self::parse(&file, text),
                    Err(err) => Err($crate::reader::unreadable(&file, &err)),
                }
            }

            /// Parses settings from `text`; `file` is its name in errors.
            ///
            /// # Errors
            ///
            /// All problems of the text.
            pub fn parse(
                file: &str,
                text: impl AsRef<[u8]>,
            ) -> Result<Self, $crate::error::Errors> {
                let known = Self::describe();
                let mut reader = $crate::reader::Reader::new(file, text.as_ref(), &known);
                let settings = Self {
                    $($field: <$type>::read(&mut reader),)*
                };
                reader.add_conflicts(settings.conflicts());
                reader.finish(settings)
            }
        }
    };
}

pub(crate) use presence;
pub(crate) use section;
pub(crate) use settings;
