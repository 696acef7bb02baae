package org.ragwortbank.standins.prepared

/**
 * What a caller got of one stream.
 *
 * @property events the numbers of its events in the order in which they came, with the versions that wrote them
 * @property isWhole whether it was completed
 * @property firstAttempt id of the request that brought its first event; null if none came
 * @property takeUps tries to take it up
 * @property refusedTakeUps those of them that were refused as not run
 * @property attempts its requests with what each got
 */
data class CalledStream(
    val name: String,
    val events: List<Pair<Int, String>> = emptyList(),
    val isWhole: Boolean = false,
    val firstAttempt: String? = null,
    val takeUps: Int = 0,
    val refusedTakeUps: Int = 0,
    val attempts: List<String> = emptyList(),
) {
    /** Versions that wrote events of it. */
    val versions: Set<String> get() = events.map { it.second }.toSet()

    /** Whether its events are numbered from 1 without a gap. */
    val isInOrder: Boolean get() = events.map { it.first } == (1..events.size).toList()

    override fun toString(): String = "$name: ${events.map { "${it.first} ${it.second}" }}, attempts $attempts"
}
