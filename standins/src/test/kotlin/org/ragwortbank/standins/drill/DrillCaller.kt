package org.ragwortbank.standins.drill

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.core.model.Header
import org.ragwortbank.standins.fleet.BlockingHttp
import kotlin.random.Random
import kotlin.time.Duration

/** A caller at the machine with the index [machine], whose requests' ids begin with [name]. */
class DrillCaller(
    private val name: String,
    private val machine: Int,
    private val gateway: DrillGateway,
    private val random: Random,
    private val now: () -> Duration,
) {
    /** Sends the request with the number [number] on one of the routes that were ever [published]; null if it can't. */
    fun call(number: Int, published: List<PublishedConfig>): DrillRequest? {
        val (prefix, key) = choose(published)
        return call(number, prefix, key)
    }

    /** Sends the request with the number [number] on a route that all versions have. */
    fun callFirstRoute(number: Int): DrillRequest? = callRoute(number, DrillOperator.STABLE)

    /** Sends the request with the number [number] on the route with [prefix]. */
    fun callRoute(number: Int, prefix: String): DrillRequest? = call(number, prefix, DrillOperator.STABLE_KEY)

    private fun call(number: Int, prefix: String, key: String): DrillRequest? {
        val target = gateway.incarnation ?: return null
        val id = "$name-$number"
        val sentAt = now()
        val reply = BlockingHttp.send(target.address, HttpCall("GET", prefix + "x", headers(id, key)))
        val status = (reply as? HttpReply.Answered)?.status
        return DrillRequest(id, machine, target.number, prefix, key, sentAt, now(), status)
    }

    private fun choose(published: List<PublishedConfig>): Pair<String, String> {
        val newest = published.last().config
        val prefixes = published.flatMap { it.config.routes.keys }.distinct()
        val keys = published.flatMap { it.config.keys }.distinct()
        return when (random.nextInt(CHOICES)) {
            0, 1 -> DrillOperator.STABLE to DrillOperator.STABLE_KEY
            2, 3, 4 -> newest.routes.keys.last() to DrillOperator.STABLE_KEY
            5 -> DrillOperator.MOVED to DrillOperator.STABLE_KEY
            6 -> prefixes.random(random) to DrillOperator.STABLE_KEY
            7 -> DrillOperator.STABLE to newest.keys.last()
            8 -> DrillOperator.STABLE to keys.random(random)
            else -> if (random.nextBoolean()) "/never/" to DrillOperator.STABLE_KEY else DrillOperator.STABLE to "never"
        }
    }

    private fun headers(id: String, key: String) = persistentListOf(
        Header("Host", DrillConfig.HOST),
        Header("X-Request-Id", id),
        Header("X-Deadline-Ms", "1000"),
        Header("Authorization", "Bearer $key"),
    )

    private companion object {
        const val CHOICES = 10
    }
}
