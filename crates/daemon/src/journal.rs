//! What has to outlive every daemon: jobs, start intents and outcomes in the platform's store.
