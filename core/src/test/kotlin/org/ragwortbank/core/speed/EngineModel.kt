package org.ragwortbank.core.speed

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.serving.RequestNumber
import kotlin.math.min
import kotlin.random.Random

/** A request at an engine; times in milliseconds. */
internal data class Run(
    val gateway: Int,
    val number: RequestNumber,
    val unread: Double,
    val length: Int,
    val generated: Int = 0,
    val lastEventAt: Double = 0.0,
    val longestPause: Double = 0.0,
)

/** An engine that reads prompts between the tokens of its runs, on a machine with slow moments. */
internal class EngineModel(private val speed: Double, private val seed: Int) {
    private var clock = 0.0
    var runs: PersistentList<Run> = persistentListOf()
        private set
    var ended: PersistentList<Run> = persistentListOf()
        private set

    /** Runs whose first token came during the latest [advance]. */
    var begun: PersistentList<Run> = persistentListOf()
        private set

    val generating
        get() = runs.filter { it.generated > 0 }
            .associate { key(it) to it.generated.toLong() }
            .toPersistentMap()

    fun slowness(at: Double = clock): Double =
        if (Random(seed * 7_919 + (at / 600).toInt()).nextDouble() < 0.15) 2.5 else 1.0

    fun add(run: Run) {
        runs = runs.add(run)
    }

    fun advance(until: Double) {
        begun = persistentListOf()
        while (clock < until && runs.isNotEmpty()) step()
        clock = maxOf(clock, until)
    }

    private fun step() {
        val piece = min(4_096.0, runs.sumOf { it.unread })
        clock += (5.1 + 0.0255 * runs.size + piece / 29.4) * speed * slowness()
        var left = piece
        val stepped = runs.map { run ->
            val read = min(left, run.unread)
            left -= read
            if (run.unread > read) run.copy(unread = run.unread - read) else generate(run.copy(unread = 0.0))
        }
        begun = begun.addAll(stepped.filter { it.generated == 1 })
        ended = ended.addAll(stepped.filter { it.generated == it.length })
        runs = stepped.filter { it.generated < it.length }.toPersistentList()
    }

    private fun generate(run: Run): Run {
        val next = run.copy(generated = run.generated + 1)
        val isEvent = next.generated % 7 == 0
        val pause = if (isEvent && run.lastEventAt > 0) clock - run.lastEventAt else 0.0
        return if (isEvent) next.copy(lastEventAt = clock, longestPause = maxOf(run.longestPause, pause)) else next
    }

    private fun key(run: Run) = "${run.gateway}-${run.number.value}"
}
