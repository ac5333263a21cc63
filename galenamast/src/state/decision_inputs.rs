//! The inputs that the steps of one routing decision share.

use crate::state::config_image::ConfigImage;
use crate::state::route_request::RouteRequest;
use crate::state::route_tables::RouteTables;
use crate::state::time_point::TimePoint;
use crate::state::workspace_spec::WorkspaceSpec;

/// Inputs of a routing decision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecisionInputs<'a> {
    /// Request to route.
    pub(crate) request: &'a RouteRequest,
    /// Workspace of the request.
    pub(crate) workspace: &'a WorkspaceSpec,
    /// Configuration in force.
    pub(crate) image: &'a ConfigImage,
    /// Servers, brakes and quality observations known to the entry host.
    pub(crate) tables: &'a RouteTables,
    /// Time of the decision.
    pub(crate) now: TimePoint,
    /// Seed of the random choices.
    pub(crate) seed: u64,
    /// Whether the request's session stays bound to its version.
    pub(crate) pinned: bool,
}
