package org.ragwortbank.standins.drill

import kotlin.time.Duration

/** Checks what callers got against the versions that the operator has published. */
class DrillCheck(private val record: DrillRecord) {
    private val published = record.published
    private val effects = record.requests.mapNotNull(::effectOf).groupBy { it.machine to it.incarnation }

    /** Requests whose handling is checked against the time since an acknowledgement. */
    val requestsInTouch: List<DrillRequest> = record.requests.filter(::isInTouch)

    /** The broken promises. */
    fun breaches(): List<Breach> =
        requestsInTouch.filterNot(::isInForce).map { breach(Promise.IN_FORCE, it) } +
            record.requests.filter(::isReverted).map { breach(Promise.NOT_REVERTED, it) } +
            record.requests.filter(::isRunAfterWithdrawal).map { breach(Promise.KEY_WITHDRAWN, it) } +
            record.requests.filter(::isNeverAllowed).map { breach(Promise.ALLOWED, it) } +
            listOfNotNull(falseDenials(), unservedRoutes())

    /** In touch is a machine that, like the store, was undisturbed for long before a request and until its end. */
    private fun isInTouch(request: DrillRequest): Boolean = record.disturbances.none {
        val isConcerned = it.machine == null || it.machine == request.machine
        isConcerned && it.from <= request.endedAt && it.until > request.sentAt - DrillBounds.contact
    }

    private fun isInForce(request: DrillRequest): Boolean = !isAsOnlyBefore(versionsDueBy(request), request)

    /** The versions that may be in force while [request] is handled at a machine in touch. */
    private fun versionsDueBy(request: DrillRequest): List<PublishedConfig> {
        val oldest = published.indexOfLast { it.acknowledgedAt + DrillBounds.configApply < request.sentAt }
        return published.drop(oldest.coerceAtLeast(0)).filter { it.sentAt <= request.endedAt }
    }

    private fun isReverted(request: DrillRequest): Boolean {
        val latestEffect = effects[request.machine to request.incarnation].orEmpty()
            .filter { it.seenAt + DrillBounds.revertSlack < request.sentAt }
            .maxOfOrNull { it.version } ?: 0
        val later = published.filter { it.sentAt <= request.endedAt && it.config.version >= latestEffect }
        return isAsOnlyBefore(later, request)
    }

    /** Whether [request] was handled as none of [versions] allows and one before them does. */
    private fun isAsOnlyBefore(versions: List<PublishedConfig>, request: DrillRequest): Boolean {
        val oldest = versions.first().config.version
        return versions.none { isAllowedBy(it, request) } &&
            published.any { it.config.version < oldest && isAllowedBy(it, request) }
    }

    private fun isRunAfterWithdrawal(request: DrillRequest): Boolean {
        val withdrawal = published.getOrNull(published.indexOfLast { request.key in it.config.keys } + 1)
        val isLate = withdrawal != null && request.sentAt > withdrawal.acknowledgedAt + DrillBounds.revoke
        return isLate && record.outcome(request) is Outcome.Run
    }

    private fun isNeverAllowed(request: DrillRequest): Boolean =
        record.outcome(request) is Outcome.Run && published.none { isAllowedBy(it, request) }

    /** Denials of what all versions allow, or all that may be in force at a machine in touch. */
    private fun falseDenials(): Breach? {
        val denied = record.requests.filter { request ->
            val isDenied = record.outcome(request) == Outcome.Denied
            val versions = if (isInTouch(request) && isInForce(request)) versionsDueBy(request) else published
            isDenied && versions.all { it.config.serves(request) }
        }
        return denied.firstOrNull()
            ?.takeIf { denied.size > DrillBounds.MAX_FALSE_DENIALS }
            ?.let { breach(Promise.NOT_DENIED, it, "${denied.size} denied") }
    }

    private fun unservedRoutes(): Breach? {
        val (first, added) = requestsInTouch
            .filter { request -> versionsDueBy(request).all { it.config.serves(request) } }
            .partition { it.prefix in published.first().config.routes }
        val isTooLow = servedShare(added) < servedShare(first) * DrillBounds.MIN_ADDED_SHARE
        val evidence = "served ${servedShare(added)} of ${added.size} on added routes, ${servedShare(first)} on others"
        val isBroken = added.size >= DrillBounds.MIN_ADDED_REQUESTS && isTooLow
        return if (isBroken) breach(Promise.ADDED_SERVED, added.first(), evidence) else null
    }

    private fun servedShare(requests: List<DrillRequest>): Double =
        requests.count { record.outcome(it) is Outcome.Run }.toDouble() / requests.size.coerceAtLeast(1)

    private fun isAllowedBy(version: PublishedConfig, request: DrillRequest): Boolean =
        version.config.allows(request, record.outcome(request))

    /** The oldest version as which [request] can have been run, which its machine has acted on. */
    private fun effectOf(request: DrillRequest): Effect? =
        published.firstOrNull { record.outcome(request) is Outcome.Run && isAllowedBy(it, request) }
            ?.let { Effect(request.machine, request.incarnation, it.config.version, request.endedAt) }

    private fun breach(promise: Promise, request: DrillRequest, evidence: String = ""): Breach {
        val newest = versionsDueBy(request).first()
        val described = "version ${newest.config.version} acknowledged at ${newest.acknowledgedAt}"
        return Breach(promise, request, "${record.outcome(request)}; $described; $evidence")
    }

    private class Effect(val machine: Int, val incarnation: Int, val version: Long, val seenAt: Duration)
}
