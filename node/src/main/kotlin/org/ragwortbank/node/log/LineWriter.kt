package org.ragwortbank.node.log

import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Writes log lines to [output] on a thread of its own, all lines of [delay] in one write.
 *
 * [add] never blocks: a slow reader of the output costs lines, which are counted, and no time.
 *
 * @property droppedLine formats the line that reports how many were dropped
 */
internal class LineWriter(
    private val output: OutputStream,
    private val delay: Duration = 100.milliseconds,
    private val droppedLine: (Int) -> String,
) {
    private val pending = AtomicReference(PendingLines())

    @Volatile
    private var isStopped = false
    private val thread = thread(isDaemon = true, name = "log-writer") { run() }

    /** Adds [line], which ends with a line break, to those that are written next. */
    fun add(line: String) {
        val before = pending.getAndUpdate { it.add(line) }
        if (before.isEmpty) LockSupport.unpark(thread)
    }

    /** Writes all pending lines and ends the thread; lines that are added later are lost. */
    fun stop() {
        isStopped = true
        thread.interrupt()
        thread.join(MAX_STOP_MILLIS)
    }

    private fun run() {
        while (!isStopped) {
            waitForLines()
            writePending()
        }
        writePending()
    }

    private fun waitForLines() {
        try {
            if (pending.get().isEmpty) LockSupport.park()
            Thread.sleep(delay.inWholeMilliseconds)
        } catch (_: InterruptedException) {
            isStopped = true
        }
    }

    private fun writePending() {
        val batch = pending.getAndSet(PendingLines())
        if (batch.isEmpty) return
        val dropped = if (batch.droppedCount > 0) droppedLine(batch.droppedCount) else ""
        try {
            output.write((batch.lines.joinToString("") + dropped).encodeToByteArray())
            output.flush()
        } catch (_: IOException) {
            pending.updateAndGet { it.copy(droppedCount = it.droppedCount + batch.lines.size + batch.droppedCount) }
        }
    }

    private companion object {
        const val MAX_STOP_MILLIS = 1_000L
    }
}
