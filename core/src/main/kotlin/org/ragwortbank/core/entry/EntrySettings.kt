package org.ragwortbank.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits and timeouts of an entry.
 *
 * @property maxRequests open requests at a time; further ones are refused
 * @property creditTimeout longest time that a request waits for tokens of its account
 * @property grantLifetime how long after a credit request its granted tokens may be spent; later grants are returned
 * @property claimTimeout longest wait for an idempotency key to be recorded
 * @property startTimeout longest wait for an upstream to begin its answer
 * @property requestTimeout longest time from arrival to the end of the answer
 * @property maxAttempts most dispatches of one request, including the first
 * @property sweepInterval time between two checks of timeouts
 * @property membershipLease how long a bucket owner grants credit after its membership was last confirmed
 * @property absentAfter how long a member must be missing from the instance list before others take its buckets over
 * @property plainCallTokens tokens charged for a call of a plain service
 * @property drainGrace how long a stopping entry still accepts requests from the load balancer
 * @property handoverTimeout longest time after [drainGrace] that a stopping entry waits for its bucket handover
 * @property drainTimeout longest time from the stop request to the exit, also with open requests
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
