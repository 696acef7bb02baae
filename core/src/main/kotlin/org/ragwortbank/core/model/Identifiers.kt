package org.ragwortbank.core.model

/** Name of a route; callers send it as the model or as the first segment of a service path. */
@JvmInline
value class RouteName(val value: String) {
    override fun toString(): String = value
}

/** Name of a pool of upstreams. */
@JvmInline
value class PoolName(val value: String) {
    override fun toString(): String = value
}

/** Name of a client account, to which a rate limit applies. */
@JvmInline
value class AccountId(val value: String) {
    override fun toString(): String = value
}

/** Name of an instance on the platform's instance list. */
@JvmInline
value class InstanceName(val value: String) {
    override fun toString(): String = value
}

/** Name of a failure domain, a group of instances that may fail together. */
@JvmInline
value class FailureDomain(val value: String) {
    override fun toString(): String = value
}

/** Name of a region, which holds one or more failure domains. */
@JvmInline
value class Region(val value: String) {
    override fun toString(): String = value
}

/** SHA-256 of a caller's key in lower-case hexadecimal; the key itself is never stored. */
@JvmInline
value class KeyHash(val hex: String) {
    /** Returns the first digits only, for logs and paths. */
    override fun toString(): String = hex.take(PRINTED_DIGITS)

    private companion object {
        const val PRINTED_DIGITS = 8
    }
}

/** A key that the caller chooses for a request and sends again with every repeat of it. */
@JvmInline
value class IdempotencyKey(val value: String) {
    override fun toString(): String = value
}

/** Identifies one of the successive processes that run under the same instance name. */
@JvmInline
value class Incarnation(val value: String) {
    override fun toString(): String = value
}
