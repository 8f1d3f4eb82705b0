//! A daemon's place in the list of daemons, under a lease.

use std::time::Duration;

use tt_adapter::LeaseId;
use tt_adapter::MemberRecord;
use tt_adapter::Platform;
use tt_adapter::PlatformError;

/// A daemon's place in the list of daemons. It lasts as long as it is renewed.
#[derive(Debug)]
pub struct Registration {
    platform: Platform,
    record: MemberRecord,
    lease: Option<LeaseId>,
}

impl Registration {
    /// A daemon that is not in the list yet.
    pub fn new(platform: Platform, record: MemberRecord) -> Registration {
        Registration { platform, record, lease: None }
    }

    /// Puts the daemon into the list, or keeps it there for another `lifetime`.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; the next call tries again.
    pub async fn renew(&mut self, lifetime: Duration) -> Result<(), PlatformError> {
        let Some(held) = self.lease else {
            let granted = self.platform.grant_lease(lifetime).await?;
            self.platform.put_member(&self.record, granted).await?;
            self.lease = Some(granted);
            return Ok(());
        };
        match self.platform.renew_lease(held).await {
            Err(PlatformError::LeaseEnded) => {
                self.lease = None;
                Ok(())
            }
            kept => kept,
        }
    }

    /// Writes the daemon's record again, under the lease that it has.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; the record may be missing until the next call.
    pub async fn write(&self) -> Result<(), PlatformError> {
        match self.lease {
            Some(held) => self.platform.put_member(&self.record, held).await,
            None => Ok(()),
        }
    }

    /// Says in the list that the daemon will end soon.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; the record may be unchanged.
    pub async fn announce_leave(&mut self) -> Result<(), PlatformError> {
        self.record.leaving = true;
        self.write().await
    }

    /// Takes the daemon out of the list.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; the lease then ends by itself.
    pub async fn end(self) -> Result<(), PlatformError> {
        match self.lease {
            Some(held) => self.platform.revoke_lease(held).await,
            None => Ok(()),
        }
    }
}
