//! Validation of a whole configuration before it is accepted or adopted.

use crate::state::{
    ConfigImage, ModelName, ModelSpec, PoolName, PoolSpec, RolloutSpec, ServiceSpec, StateError,
    VersionName, WorkspaceSpec,
};

/// Range of shares and ratings, as stated in errors.
const UNIT_RANGE: &str = "0 to 1";

/// Returns all errors of a configuration; empty if it is valid.
///
/// ```
/// use galenamast::coordination::check_image;
/// use galenamast::state::ConfigImage;
///
/// assert!(check_image(&ConfigImage::default()).is_empty());
/// ```
pub fn check_image(image: &ConfigImage) -> Vec<StateError> {
    let mut check = ImageCheck {
        image,
        errors: Vec::new(),
    };
    image.pools.values().for_each(|pool| check.check_pool(pool));
    image
        .models
        .values()
        .for_each(|model| check.check_model(model));
    image
        .services
        .values()
        .for_each(|service| check.check_service(service));
    image
        .rollouts
        .values()
        .for_each(|rollout| check.check_rollout(rollout));
    image
        .workspaces
        .values()
        .for_each(|workspace| check.check_workspace(workspace));
    check.errors
}

/// A configuration being checked, and the errors found so far.
struct ImageCheck<'a> {
    image: &'a ConfigImage,
    errors: Vec<StateError>,
}

impl ImageCheck<'_> {
    fn check_pool(&mut self, pool: &PoolSpec) {
        let subject = format!("pool {}", pool.name);
        let slots = pool.slots_per_server;
        self.require(
            slots >= 1,
            &subject,
            "slots_per_server",
            &slots,
            "at least 1",
        );
        let is_positive = !pool.attempt_timeout.is_zero();
        let timeout = format!("{:?}", pool.attempt_timeout);
        self.require(
            is_positive,
            &subject,
            "attempt_timeout",
            &timeout,
            "above 0",
        );
    }

    fn check_model(&mut self, model: &ModelSpec) {
        for (name, version) in &model.versions {
            let subject = format!("version {}@{name}", model.name);
            self.require_pool(&subject, &version.pool);
            self.require_unit(&subject, "prior_quality", version.prior_quality);
            for prior in version.task_priors.values() {
                self.require_unit(&subject, "task_priors", *prior);
            }
        }
    }

    fn check_service(&mut self, service: &ServiceSpec) {
        self.require_pool(&format!("service {}", service.name), &service.pool);
    }

    fn check_rollout(&mut self, rollout: &RolloutSpec) {
        let subject = format!("rollout {}", rollout.name);
        self.require_version(&subject, &rollout.model, &rollout.candidate);
        self.require_version(&subject, &rollout.model, &rollout.baseline);
        let distinct = rollout.candidate != rollout.baseline;
        let candidate = rollout.candidate.as_str();
        self.require(
            distinct,
            &subject,
            "candidate",
            &candidate,
            "not the baseline",
        );
        let shares = &rollout.step_shares;
        let ascending = shares.is_sorted() && shares.last().is_some_and(|last| *last <= 1_000);
        let allowed = "ascending thousandths up to 1000, at least one";
        self.require(
            ascending,
            &subject,
            "step_shares",
            &format!("{shares:?}"),
            allowed,
        );
        let exists = (rollout.step as usize) < shares.len();
        self.require(
            exists,
            &subject,
            "step",
            &rollout.step,
            "an index of step_shares",
        );
        self.require_unit(&subject, "tolerated_loss", rollout.tolerated_loss);
        let rate = rollout.false_alarm_rate;
        let open = rate > 0.0 && rate < 1.0;
        self.require(open, &subject, "false_alarm_rate", &rate, "between 0 and 1");
    }

    fn check_workspace(&mut self, workspace: &WorkspaceSpec) {
        let subject = format!("workspace {}", workspace.name);
        for (model, versions) in &workspace.allowed {
            for version in versions {
                self.require_version(&subject, model, version);
            }
        }
        for service in &workspace.services {
            if !self.image.services.contains_key(service) {
                self.record_dangling(&subject, "service", service);
            }
        }
        self.require_unit(&subject, "quality_target", workspace.quality_target);
        self.require_unit(&subject, "mixing_shortfall", workspace.mixing_shortfall);
        for target in workspace.task_targets.values() {
            self.require_unit(&subject, "task_targets", *target);
        }
        let weights = workspace.weights;
        self.require_positive(&subject, "weights.cost", weights.cost, true);
        self.require_positive(&subject, "weights.latency", weights.latency, true);
        self.require_positive(&subject, "weights.exposure", weights.exposure, true);
        let limits = workspace.limits;
        let rate = limits.requests_per_second;
        self.require_positive(&subject, "limits.requests_per_second", rate, false);
        self.require_positive(&subject, "limits.share_weight", limits.share_weight, false);
        self.require_positive(&subject, "limits.retry_ratio", limits.retry_ratio, true);
    }

    /// Records an error if no pool has this name.
    fn require_pool(&mut self, subject: &str, name: &PoolName) {
        if !self.image.pools.contains_key(name) {
            self.record_dangling(subject, "pool", name);
        }
    }

    /// Records an error if the model or its version does not exist.
    fn require_version(&mut self, subject: &str, model: &ModelName, version: &VersionName) {
        let found = self.image.models.get(model);
        if !found.is_some_and(|model| model.versions.contains_key(version)) {
            self.record_dangling(subject, "version", &format!("{model}@{version}"));
        }
    }

    /// Records an error if a value is not from 0 to 1.
    fn require_unit(&mut self, subject: &str, field: &'static str, value: f64) {
        let inside = (0.0..=1.0).contains(&value);
        self.require(inside, subject, field, &value, UNIT_RANGE);
    }

    /// Records an error if a value is not finite, is negative, or is 0 without `zero_allowed`
    /// allowing that.
    fn require_positive(
        &mut self,
        subject: &str,
        field: &'static str,
        value: f64,
        zero_allowed: bool,
    ) {
        let inside = value.is_finite() && (value > 0.0 || (zero_allowed && value == 0.0));
        let allowed = if zero_allowed {
            "0 or above"
        } else {
            "above 0"
        };
        self.require(inside, subject, field, &value, allowed);
    }

    /// Records an out-of-range error unless `holds`.
    fn require(
        &mut self,
        holds: bool,
        subject: &str,
        field: &'static str,
        value: &impl ToString,
        allowed: &'static str,
    ) {
        if holds {
            return;
        }
        self.errors.push(StateError::OutOfRange {
            subject: subject.into(),
            field,
            value: value.to_string(),
            allowed,
        });
    }

    /// Records a reference to an entry that does not exist.
    fn record_dangling(&mut self, referrer: &str, kind: &'static str, name: &impl ToString) {
        self.errors.push(StateError::DanglingReference {
            referrer: referrer.into(),
            kind,
            name: name.to_string(),
        });
    }
}
