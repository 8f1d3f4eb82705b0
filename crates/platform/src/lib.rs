//! Client of the platform's store and VM list.
