package org.ragwortbank.core.crash

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Searches for what crashes have in common.
 *
 * A trait is taken for a cause when several crashes, apart in time and on different hosts, had requests with it, and
 * none with it was answered since the first of them.
 *
 * Of several traits that explain the same crashes the narrowest is taken, which may be too narrow. A broader one then
 * takes its place when it explains later crashes as well as all of those.
 *
 * @property settled crashes of which all gateways have reported what they know, in order of time
 * @property table these and the other latest crashes
 * @property hostCounts number of hosts of each service
 */
internal class CauseSearch(
    private val settled: List<CrashRow>,
    private val table: CrashTable,
    private val hostCounts: Map<ServiceName, Int>,
) {
    private val open = settled.filter { it.isOpen }

    /** The trait that is a cause, first one that replaces others, then the narrowest; null if there is none. */
    fun find(): Cause? =
        open
            .flatMap { it.possibleCauses }
            .groupingBy { it }
            .eachCount()
            .filterValues { it >= REPLACEMENT_CRASHES }
            .keys
            .mapNotNull(::causeOf)
            .minWithOrNull(compareBy({ it.replaced.isEmpty() }, { it.breadth }, { it.requestCount }))

    /** [trait] as a cause; null if the crashes that it may have caused are not enough to take it for one. */
    private fun causeOf(trait: CrashTrait): Cause? {
        val unexplained = open.filter { it.mayBeCausedBy(trait) }
        val replaced = table.replacedBy(trait)
        val crashes = (unexplained + settled.filter { it.explanation in replaced }).sortedBy { it.at }
        return when {
            isReplacement(unexplained, crashes) && isCause(trait, crashes) ->
                causeOf(trait, crashes).copy(replaced = replaced)
            isCause(trait, unexplained) -> causeOf(trait, unexplained)
            else -> null
        }
    }

    /** Whether [crashes] are more than their [unexplained] part, and enough to take a broader trait for their cause. */
    private fun isReplacement(unexplained: List<CrashRow>, crashes: List<CrashRow>): Boolean =
        crashes.size > unexplained.size && countApart(unexplained) >= REPLACEMENT_CRASHES &&
            countApart(crashes) >= MAX_CAUSE_CRASHES

    /** Whether [crashes], in order of time, are enough to take [trait] for their cause. */
    private fun isCause(trait: CrashTrait, crashes: List<CrashRow>): Boolean {
        if (crashes.size < CAUSE_CRASHES) return false
        val service = crashes.first().place.service
        val meanwhile = (open + crashes).distinct().filter {
            it.place.service == service && it.at >= crashes.first().at && it.at <= crashes.last().at
        }
        val count = countApart(crashes)
        val share = count.toDouble() / countApart(meanwhile.sortedBy { it.at })
        val isStorm = hostsLostUntil(crashes.last().at, service) > (hostCounts[service] ?: 0) * STORM_SHARE
        return isEnough(count, share, isStorm) && crashes.distinctBy { it.place }.size >= CAUSE_HOSTS &&
            (trait is CrashTrait.Repeat || requestsWith(trait, crashes).fingerprints.size >= CAUSE_REQUESTS)
    }

    /** While most upstreams crash, most requests are lost, and some by chance with several of them. */
    private fun isEnough(count: Int, share: Double, isStorm: Boolean): Boolean =
        when {
            share < CAUSE_SHARE -> false
            !isStorm -> count >= CAUSE_CRASHES
            share >= CAUSE_SHARE_IN_STORM -> count >= CAUSE_CRASHES_IN_STORM
            else -> count >= MAX_CAUSE_CRASHES
        }

    /** Hosts of [service] on which upstreams crashed shortly before [time], for whatever cause. */
    private fun hostsLostUntil(time: Timestamp, service: ServiceName): Int =
        table.rows.values
            .filter { it.place.service == service && it.at <= time && time - it.at <= STORM_TIME }
            .distinctBy { it.place }
            .size

    private fun causeOf(trait: CrashTrait, crashes: List<CrashRow>): Cause {
        val requests = requestsWith(trait, crashes)
        val upstreams = crashes.map { it.crash.upstream }.toPersistentList()
        return Cause(trait, upstreams, requests.breadth, requests.fingerprints.size)
    }

    private fun requestsWith(trait: CrashTrait, crashes: List<CrashRow>): SuspectRequests =
        crashes.mapNotNull { it.suspects[trait] }.reduce(SuspectRequests::plus)

    /** Number of [crashes], in order of time, where those at about the same time count as one. */
    private fun countApart(crashes: List<CrashRow>): Int =
        crashes.fold(0 to null as Timestamp?) { (count, countedAt), row ->
            val isApart = countedAt == null || row.at - countedAt >= MIN_GAP
            if (isApart) count + 1 to row.at else count to countedAt
        }.first

    private companion object {
        const val CAUSE_CRASHES = 3
        const val CAUSE_CRASHES_IN_STORM = 4
        const val MAX_CAUSE_CRASHES = 5
        const val CAUSE_REQUESTS = 2

        /** One further crash may have a reason of its own. */
        const val REPLACEMENT_CRASHES = 2

        /** Share of the crashes meanwhile, so that a few of many that have another cause are not enough. */
        const val CAUSE_SHARE = 0.4
        const val CAUSE_SHARE_IN_STORM = 0.8

        /** Share of a service's hosts whose crashes make a storm. */
        const val STORM_SHARE = 0.5
        val STORM_TIME = 5.seconds

        /** One host that fails again and again may fail for a reason of its own. */
        const val CAUSE_HOSTS = 2

        /** Upstreams that share a rack or a power supply end at about the same time. */
        val MIN_GAP = 100.milliseconds
    }
}
