//! Checks the API key of a request, and tells searchers which organisation it belongs to.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header::HeaderValue;

use crate::entry::ActiveConfig;
use crate::entry::Entry;
use tt_adapter::headers;
use tt_serve::CompiledRoute;
use tt_serve::KeyFault;
use tt_serve::KeyRing;
use tt_serve::Organisation;
use tt_serve::Time;

/// Maximum number of versions of the configuration in which a key is looked up. Without it, an
/// unknown key would wait as long as versions follow one another quickly.
const MAX_LOOKUPS: usize = 3;

/// A request that may run.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) active_config: Arc<ActiveConfig>,
    pub(crate) route: Arc<CompiledRoute>,
    /// Whose request it is; `None` if it needs no key.
    pub(crate) organisation: Option<Arc<Organisation>>,
}

/// Why a request must not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdmissionError {
    /// No configuration is known yet.
    NoConfig,
    /// The configuration has no route for it.
    NoRoute,
    /// No configuration that may be in force accepts its key.
    Key(KeyFault),
    /// The configuration lacks its key, but a later one may hold it.
    Unconfirmed,
    /// Its key may have been withdrawn.
    Expired,
}

impl AdmissionError {
    /// Value of `cause` in logs and metrics.
    pub(crate) fn cause(self) -> &'static str {
        match self {
            AdmissionError::NoConfig => "no_config",
            AdmissionError::NoRoute => "no_route",
            AdmissionError::Key(KeyFault::Malformed) => "malformed_key",
            AdmissionError::Key(KeyFault::Unknown) => "unknown_key",
            AdmissionError::Unconfirmed => "unconfirmed_key",
            AdmissionError::Expired => "keys_expired",
        }
    }
}

/// Finds the route of a request that arrived at `arrived_at`, on the clock of [`Entry::proof_time`],
/// and checks its key.
///
/// # Errors
///
/// Any [`AdmissionError`].
pub(crate) async fn admit(
    entry: &Entry,
    host: &str,
    path: &str,
    headers: &HeaderMap,
    arrived_at: Time,
) -> Result<Admission, AdmissionError> {
    let mut lookups = 0;
    loop {
        // In this order: what is proven holds for the configuration that is in force afterwards.
        let is_expired = entry.keys_expired();
        let active_config = entry.active_config().ok_or(AdmissionError::NoConfig)?;
        let route = active_config.table.find(host, path).cloned().ok_or(AdmissionError::NoRoute)?;
        let version = active_config.table.version;
        let Some(keys) = active_config.table.keys.as_ref().filter(|_| !route.route.public) else {
            return Ok(Admission { active_config, route, organisation: None });
        };
        let error = match find(keys, headers) {
            Ok(_) if is_expired => return Err(AdmissionError::Expired),
            Ok(organisation) => {
                return Ok(Admission { active_config, route, organisation: Some(organisation) });
            }
            Err(KeyFault::Malformed) => return Err(AdmissionError::Key(KeyFault::Malformed)),
            Err(KeyFault::Unknown) => AdmissionError::Key(KeyFault::Unknown),
        };
        lookups += 1;
        if !entry.confirm_unknown_key(arrived_at, version).await {
            return Err(AdmissionError::Unconfirmed);
        }
        if entry.config_version() == version || lookups >= MAX_LOOKUPS {
            return Err(error);
        }
    }
}

/// Checks the key of an admitted request again once its body has been read, which can take seconds.
///
/// # Errors
///
/// [`AdmissionError::Expired`] or [`AdmissionError::Key`].
pub(crate) fn recheck(
    entry: &Entry,
    admission: &mut Admission,
    headers: &HeaderMap,
) -> Result<(), AdmissionError> {
    if admission.organisation.is_none() {
        return Ok(());
    }
    if entry.keys_expired() {
        return Err(AdmissionError::Expired);
    }
    let newest = entry.active_config().ok_or(AdmissionError::NoConfig)?;
    if newest.table.version != admission.active_config.table.version
        && let Some(keys) = &newest.table.keys
    {
        admission.organisation = Some(find(keys, headers).map_err(AdmissionError::Key)?);
    }
    Ok(())
}

fn find(keys: &KeyRing, headers: &HeaderMap) -> Result<Arc<Organisation>, KeyFault> {
    let values = headers.get_all(headers::API_KEY);
    keys.find(values.iter().map(HeaderValue::as_bytes)).cloned()
}

/// Replaces what a caller says of its organisation by what its key has shown. To be called after
/// [`remove_connection_headers`](crate::answer::remove_connection_headers), so that a caller can't
/// name the result for removal.
pub(crate) fn set_organisation(headers: &mut HeaderMap, organisation: Option<&Organisation>) {
    headers.remove(headers::API_KEY);
    headers.remove(headers::ORGANISATION);
    let Some(organisation) = organisation else { return };
    match HeaderValue::from_bytes(organisation.name.as_bytes()) {
        Ok(name) => {
            headers.insert(headers::ORGANISATION, name);
        }
        // Not reached: the keys of such an organisation are left out.
        Err(error) => log::error!("request: organisation=\"{error}\""),
    }
}
