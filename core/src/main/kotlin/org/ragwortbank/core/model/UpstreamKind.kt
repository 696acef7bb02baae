package org.ragwortbank.core.model

/** What stands behind the sidecars of a pool. */
enum class UpstreamKind {
    /** A model engine that serves adapters. */
    ENGINE,

    /** A plain HTTP service. */
    SERVICE,
}
