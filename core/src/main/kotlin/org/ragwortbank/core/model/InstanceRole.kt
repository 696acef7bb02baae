package org.ragwortbank.core.model

/** The kind of process that runs on an instance. */
enum class InstanceRole {
    /** Accepts callers' requests and dispatches them to sidecars. */
    ENTRY,

    /** Runs next to one upstream and forwards requests to it. */
    SIDECAR,
}
