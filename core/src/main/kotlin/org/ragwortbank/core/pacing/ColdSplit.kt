package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.serving.ColdStart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How the fleet's requests to one cold upstream are split among its gateways.
 *
 * @property seats gateways that send to it
 * @property perSecond requests that each of them sends in any second
 */
data class ColdSplit(
    val seats: Int,
    val perSecond: Int,
) {
    companion object {
        /** Part of the bound that gateways use that agree on the member list; the rest is for those that don't. */
        private const val AGREED_SHARE = 0.65

        /** A second, and how much later than usual a request may leave a connection that had to be opened. */
        private val SECOND_WITH_DELAY = 1_250.milliseconds

        /** Requests to one cold upstream in any second, from all gateways together. */
        fun bound(start: ColdStart, settings: GatewaySettings): Double =
            start.requestsPerSecond * settings.coldOverage + settings.coldSlack

        /** Requests of the bound that gateways with seats may use together. */
        fun agreedRequests(bound: Double): Int =
            (bound * AGREED_SHARE).toInt().coerceAtLeast(if (bound >= 1) 1 else 0)

        /** The split of [bound] among [gateways]: it uses the most of it, with as many seats as that allows. */
        fun of(bound: Double, gateways: Int): ColdSplit {
            val requests = agreedRequests(bound)
            val splits = (1..requests).map { ColdSplit(minOf(gateways, requests / it), it) }
            return splits.maxByOrNull { it.seats * it.perSecond } ?: ColdSplit(0, 0)
        }

        /** Time between the requests of a gateway that sends [perSecond] in any second. */
        fun interval(perSecond: Int): Duration = SECOND_WITH_DELAY / perSecond
    }
}
