package org.ragwortbank.core.model

/** The kind of upstream behind the sidecars of a pool. */
enum class UpstreamKind {
    /** A model engine that serves adapters. */
    ENGINE,

    /** A plain HTTP service. */
    SERVICE,
}
