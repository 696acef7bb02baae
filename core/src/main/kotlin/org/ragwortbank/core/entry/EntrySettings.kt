package org.ragwortbank.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds for the decisions of an entry.
 *
 * @property maxRequests requests held at once; more are refused
 * @property creditTimeout longest wait for the home of an account
 * @property grantLifetime how long after the question granted tokens may be spent; later ones go back
 * @property claimTimeout longest wait for an idempotency key to be recorded
 * @property startTimeout longest wait for an upstream to begin its answer
 * @property requestTimeout longest time from arrival to the end of the answer
 * @property maxAttempts dispatches of one request, the first included
 * @property sweepInterval time between checks of timeouts
 * @property membershipLease how long a home grants credit after it last saw itself listed
 * @property absentAfter how long a member must be missing from the instance list before its buckets are replaced
 * @property plainCallTokens tokens that a call of a plain service costs
 * @property drainGrace how long a stopping entry still takes requests that the balancer sends
 * @property handoverTimeout longest wait of a stopping entry until its buckets are handed over
 * @property drainTimeout longest time that a stopping entry waits for its requests
 */
data class EntrySettings(
    val maxRequests: Int = 4_000,
    val creditTimeout: Duration = 500.milliseconds,
    val grantLifetime: Duration = 100.milliseconds,
    val claimTimeout: Duration = 2.seconds,
    val startTimeout: Duration = 20.seconds,
    val requestTimeout: Duration = 120.seconds,
    val maxAttempts: Int = 3,
    val sweepInterval: Duration = 50.milliseconds,
    val membershipLease: Duration = 2.seconds,
    val absentAfter: Duration = 5.seconds,
    val plainCallTokens: Long = 1,
    val drainGrace: Duration = 5.seconds,
    val handoverTimeout: Duration = 3.seconds,
    val drainTimeout: Duration = 60.seconds,
)
