//! The properties of the deployment's methods that the reducer needs.

use ladderpass_config::DeploymentSettings;
use ladderpass_routing::{Consistency, Method};
use std::collections::HashMap;

/// The deployment's methods, which can be looked up by name and by index.
pub(in crate::reducer) struct MethodTable {
    index_by_name: HashMap<String, u32, foldhash::fast::RandomState>,
    properties: Vec<MethodProperties>,
    /// Whether at least one method has session consistency, which means that its reads see the writes of their session.
    has_session_methods: bool,
    /// Whether clients state in each statement when their session last wrote, so that the router need not remember this
    /// time.
    session_write_age_carried: bool,
}

struct MethodProperties {
    /// Whether a member must have reached a certain replication position to serve the method, because the method's
    /// staleness is bounded or its reads see the writes of their session.
    requires_position: bool,
    is_write: bool,
}

impl MethodProperties {
    fn of(method: &Method) -> MethodProperties {
        MethodProperties {
            requires_position: matches!(
                method.consistency,
                Consistency::BoundedStaleness(_) | Consistency::Session
            ),
            is_write: method.consistency == Consistency::Write,
        }
    }
}

impl MethodTable {
    pub(in crate::reducer) fn new(settings: &DeploymentSettings) -> MethodTable {
        let methods = &settings.deployment.methods;
        MethodTable {
            index_by_name: settings.method_names.iter().cloned().zip(0..).collect(),
            properties: methods.iter().map(MethodProperties::of).collect(),
            has_session_methods: methods.iter().any(|method| method.consistency == Consistency::Session),
            session_write_age_carried: settings.deployment.session_write_age_carried,
        }
    }

    pub(in crate::reducer) fn len(&self) -> usize {
        self.properties.len()
    }

    pub(in crate::reducer) fn index(&self, name: &str) -> Option<u32> {
        self.index_by_name.get(name).copied()
    }

    pub(in crate::reducer) fn name(&self, index: u32) -> Option<&str> {
        self.index_by_name.iter().find(|(_, candidate)| **candidate == index).map(|(name, _)| name.as_str())
    }

    pub(in crate::reducer) fn has_session_methods(&self) -> bool {
        self.has_session_methods
    }

    /// Returns whether the router must remember when each session last wrote.
    pub(in crate::reducer) fn tracks_sessions(&self) -> bool {
        self.has_session_methods && !self.session_write_age_carried
    }

    pub(in crate::reducer) fn requires_position(&self, index: u32) -> bool {
        self.get(index).is_some_and(|method| method.requires_position)
    }

    /// Returns whether a method is a write, or `None` if the method is unknown.
    pub(in crate::reducer) fn is_write(&self, index: u32) -> Option<bool> {
        self.get(index).map(|method| method.is_write)
    }

    fn get(&self, index: u32) -> Option<&MethodProperties> {
        self.properties.get(index as usize)
    }
}
