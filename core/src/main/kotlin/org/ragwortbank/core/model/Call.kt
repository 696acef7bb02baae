package org.ragwortbank.core.model

/**
 * A caller's request as decoded by a front end.
 *
 * @property credential hash of the key that came with the request; null when none came
 * @property idempotent the caller's own mark; null when the request carries none
 */
data class Call(
    val id: RequestId,
    val route: RouteName,
    val work: Work,
    val credential: KeyHash? = null,
    val idempotencyKey: IdempotencyKey? = null,
    val idempotent: Boolean? = null,
)
