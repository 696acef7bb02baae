package org.ragwortbank.core.model

/** Name of a route, which callers give as the model or as the first part of a service path. */
@JvmInline
value class RouteName(val value: String) {
    override fun toString(): String = value
}

/** Name of a pool of upstreams. */
@JvmInline
value class PoolName(val value: String) {
    override fun toString(): String = value
}

/** Name of a client account, the unit to which a rate and a burst belong. */
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

/** SHA-256 of a caller's key in lower-case hexadecimal; the key itself is never stored. */
@JvmInline
value class KeyHash(val hex: String) {
    override fun toString(): String = hex.take(VISIBLE_DIGITS)

    private companion object {
        const val VISIBLE_DIGITS = 8
    }
}

/** The caller's own name for a request, equal for every repeat of it. */
@JvmInline
value class IdempotencyKey(val value: String) {
    override fun toString(): String = value
}

/** Distinguishes the successive processes that run under one instance name. */
@JvmInline
value class Incarnation(val value: String) {
    override fun toString(): String = value
}
