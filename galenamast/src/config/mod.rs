//! Settings files of entry hosts and declarative files of the configuration, both in INI form.

pub mod callers_settings;
pub mod host_settings;
mod ini_lines;
pub mod logging_settings;
pub mod metrics_settings;
pub mod object_field;
pub mod object_file;
pub mod object_merge;
pub mod operators_settings;
pub mod peers_settings;
pub mod platform_settings;
pub(crate) mod pool_fields;
pub(crate) mod rollout_fields;
pub mod routing_settings;
pub mod setting_key;
pub mod settings_check;
pub mod settings_error;
pub mod settings_file;
pub mod shutdown_settings;
pub(crate) mod version_fields;
pub(crate) mod workspace_fields;

pub use callers_settings::CallersSettings;
pub use host_settings::HostSettings;
pub use logging_settings::LoggingSettings;
pub use metrics_settings::MetricsSettings;
pub use object_field::ObjectField;
pub use object_file::{DeclaredObjects, load_objects, parse_objects};
pub use operators_settings::OperatorsSettings;
pub use peers_settings::PeersSettings;
pub use platform_settings::PlatformSettings;
pub use routing_settings::RoutingSettings;
pub use setting_key::SettingKey;
pub use settings_check::check_files;
pub use settings_error::{SettingsError, SettingsProblem};
pub use settings_file::{Settings, load_settings, parse_settings};
pub use shutdown_settings::ShutdownSettings;
