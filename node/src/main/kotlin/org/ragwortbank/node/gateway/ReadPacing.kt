package org.ragwortbank.node.gateway

import io.netty.channel.EventLoop
import io.netty.util.concurrent.Future
import org.ragwortbank.core.tick.Timestamp
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One read of the store.
 *
 * @property isAtOnce whether it doesn't wait for a change
 */
internal class PacedRead(val number: Long, val isAtOnce: Boolean)

/**
 * Paces a reader that follows the store, one read after another, and cuts its waits short where someone needs a read
 * that begins now; used on the event loop's thread only.
 *
 * A pause between reads is cut short. A read that waits for a change is replaced, and its reply dropped. A read that
 * doesn't wait goes on, or a slow store would never get to reply to one, and another one follows it.
 */
internal class ReadPacing(
    private val loop: EventLoop,
    private val now: () -> Timestamp,
) {
    private var stage: Stage = Stage.Busy
    private var isWanted = false
    private var isScheduled = false
    private var lastRequestAt: Timestamp? = null
    private var lastNumber = 0L

    /** Has changes read at once, or as soon as [INTERVAL] has passed since the last time. */
    fun request() {
        val wait = lastRequestAt?.let { it + INTERVAL - now() } ?: Duration.ZERO
        if (wait > Duration.ZERO) schedule(wait) else perform()
    }

    /** Counts a read of everything that begins now, in place of any other read, pause or retry. */
    fun beginAll(): PacedRead {
        when (val current = stage) {
            is Stage.Pausing -> current.timer.cancel(false)
            is Stage.Retrying -> current.timer.cancel(false)
            is Stage.Waiting, Stage.Busy -> Unit
        }
        stage = Stage.Busy
        return PacedRead(++lastNumber, isAtOnce = false)
    }

    /** Counts a read of changes that begins now and that [repeat] would begin once more. */
    fun begin(repeat: () -> Unit): PacedRead {
        val read = PacedRead(++lastNumber, isAtOnce = isWanted)
        stage = if (isWanted) Stage.Busy else Stage.Waiting(repeat)
        isWanted = false
        return read
    }

    /** Whether the reply to [read] counts, as no other read has replaced it. */
    fun end(read: PacedRead): Boolean {
        val isLatest = read.number == lastNumber
        if (isLatest) stage = Stage.Busy
        return isLatest
    }

    /** Calls [read] after [delay], or at once if that is asked for before. */
    fun pause(delay: Duration, read: () -> Unit) {
        stage = Stage.Pausing(leaveAfter(if (isWanted) Duration.ZERO else delay, read), read)
    }

    /** Calls [read] after [delay], because the store doesn't answer. */
    fun retry(delay: Duration, read: () -> Unit) {
        stage = Stage.Retrying(leaveAfter(delay, read))
    }

    private fun leaveAfter(delay: Duration, read: () -> Unit): Future<*> =
        loop.schedule({ leave(read) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    private fun schedule(wait: Duration) {
        if (isScheduled) return
        isScheduled = true
        val action = {
            isScheduled = false
            perform()
        }
        loop.schedule(action, wait.inWholeMicroseconds, TimeUnit.MICROSECONDS)
    }

    private fun perform() {
        lastRequestAt = now()
        isWanted = true
        when (val current = stage) {
            is Stage.Pausing -> if (current.timer.cancel(false)) leave(current.read)
            is Stage.Waiting -> current.repeat()
            is Stage.Retrying, Stage.Busy -> Unit
        }
    }

    private fun leave(read: () -> Unit) {
        stage = Stage.Busy
        read()
    }

    /** What the reader does. */
    private sealed interface Stage {
        /** It reads and isn't to be disturbed. */
        data object Busy : Stage

        /** It waits until [timer] ends for the store to answer again. */
        class Retrying(val timer: Future<*>) : Stage

        /** It calls [read] when [timer] ends. */
        class Pausing(val timer: Future<*>, val read: () -> Unit) : Stage

        /** It waits for a change; [repeat] reads from the same revision. */
        class Waiting(val repeat: () -> Unit) : Stage
    }

    private companion object {
        val INTERVAL = 40.milliseconds
    }
}
