package org.ragwortbank.core.model

/**
 * A caller's request, decoded by a front end.
 *
 * @property credential hash of the key in the request; null if there is none
 * @property isIdempotent whether the caller marked the request as safe to repeat; null if it carries no mark
 */
data class Call(
    val id: RequestId,
    val route: RouteName,
    val work: Work,
    val credential: KeyHash? = null,
    val idempotencyKey: IdempotencyKey? = null,
    val isIdempotent: Boolean? = null,
)
