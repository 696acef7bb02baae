package org.ragwortbank.core.model

/** Which process of the system runs on an instance. */
enum class InstanceRole {
    /** Accepts callers' requests. */
    ENTRY,

    /** Stands beside one upstream. */
    SIDECAR,
}
