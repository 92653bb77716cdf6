//! Small stand-ins for the platform: key-value store, host list and workers.
