package org.ragwortbank.standins.drill

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlin.random.Random
import kotlin.time.Duration

/**
 * The operator's versions, and whether the newest one has still to be written.
 *
 * @property isChangeDue whether another version is to be written once the store takes it
 * @property lostFrom index in [published] of the oldest version that the store has lost; null if it has all
 */
data class DrillOperator(
    val published: PersistentList<PublishedConfig> = persistentListOf(),
    val isChangeDue: Boolean = false,
    val lostFrom: Int? = null,
) {
    /** Whether there is something to write. */
    val isWriteDue: Boolean get() = isChangeDue || lostFrom != null

    /** The newest version, after another one is made if that is due. */
    fun withDueChange(random: Random, now: Duration): DrillOperator {
        if (!isChangeDue) return this
        val next = PublishedConfig(published.last().config.changed(random), sentAt = now, acknowledgedAt = now)
        return copy(published = published.add(next), isChangeDue = false)
    }

    /** After the store has acknowledged the newest version at [now], which stands for those that it had lost too. */
    fun withAcknowledgement(now: Duration): DrillOperator {
        val from = lostFrom ?: published.lastIndex
        val confirmed = published.mapIndexed { index, version ->
            if (index < from) version else version.copy(acknowledgedAt = now)
        }
        return copy(published = persistentListOf<PublishedConfig>().addAll(confirmed), lostFrom = null)
    }

    /** After the store has come back from a copy with [version] as its newest one. */
    fun withLoss(version: Long): DrillOperator {
        val firstLost = published.indexOfFirst { it.config.version > version }.takeIf { it >= 0 }
        return copy(lostFrom = firstLost)
    }

    /** Each version adds a route; most move, give, withdraw or drop something besides. */
    private fun DrillConfig.changed(random: Random): DrillConfig {
        val next = version + random.nextLong(1, MAX_VERSION_STEP)
        val added = routes.keys.filter { it !in FIRST.routes }
        val given = keys - FIRST.keys
        val changed = when (random.nextInt(CHANGE_KINDS)) {
            0 -> copy(routes = routes.put(MOVED, DrillConfig.SERVICES.first { it != routes[MOVED] }))
            1 -> copy(keys = keys.add("key-$next"))
            2 -> copy(keys = given.randomOrNull(random)?.let { keys.remove(it) } ?: keys)
            3 -> copy(routes = added.randomOrNull(random)?.let { routes.remove(it) } ?: routes)
            else -> this
        }
        return changed.copy(
            version = next,
            routes = changed.routes.put("/added-$next/", DrillConfig.SERVICES.random(random)),
        )
    }

    companion object {
        /** Prefix of the first route, which stays as it is. */
        const val STABLE = "/stable/"

        /** Prefix of the route that is moved between services. */
        const val MOVED = "/moved/"

        /** The key that stays. */
        const val STABLE_KEY = "key-first"

        /** The first version. */
        val FIRST = DrillConfig(1, persistentMapOf(STABLE to "desk", MOVED to "desk"), persistentSetOf(STABLE_KEY))
        private const val MAX_VERSION_STEP = 8L
        private const val CHANGE_KINDS = 5
    }
}
